package org.gypsumroute.api

import arrow.core.Either
import arrow.core.NonEmptyList

/** Outcome of decoding a document's bytes: the document, or every fault found in it. */
typealias DocumentDecodeResult = Either<NonEmptyList<DocumentFault>, EncodedDocument>
