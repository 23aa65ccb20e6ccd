package org.gypsumroute.api

import arrow.core.Either
import arrow.core.NonEmptyList

/** Result of decoding a service document: the document, or all faults found in it. */
typealias DocumentDecodeResult = Either<NonEmptyList<DocumentFault>, EncodedDocument>
