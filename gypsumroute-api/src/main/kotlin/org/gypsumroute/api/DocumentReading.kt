package org.gypsumroute.api

import arrow.core.Either
import arrow.core.NonEmptyList

/** Outcome of decoding a document's bytes: the document, or every fault found in it. */
typealias DocumentReading = Either<NonEmptyList<DocumentFault>, EncodedDocument>
