package org.gypsumroute.wire

/** Kind of a frame, sent as the byte [code]. A code is never given to another kind. */
internal enum class FrameKind(val code: Byte) {
    HELLO(code = 1),
    PROOF(code = 2),
    HEARTBEAT(code = 16),
    DOCUMENT_VERSIONS(code = 17),
    DOCUMENT_REQUEST(code = 18),
    DOCUMENT_OFFER(code = 19),
    GRANT_REQUEST(code = 20),
    GRANT_ISSUED(code = 21),
    GRANT_QUEUED(code = 22),
    GRANT_REFUSED(code = 23),
    DISPATCH(code = 24),
    LEASE_RELEASE(code = 25),
    LEASE_RENEWAL(code = 26),
    SEGMENT_READY(code = 27),
    WORK_FAILED(code = 28),
    ACTION_KEY_REQUEST(code = 29),
    ACTION_KEY_ISSUED(code = 30),
    PROMPT_CHUNK(code = 64),
    ANSWER_CHUNK(code = 65),
    ANSWER_END(code = 66),
    ANSWER_RESUME(code = 67),
    ANSWER_ACKNOWLEDGE(code = 68);

    val isData: Boolean get() = code >= FIRST_DATA_CODE

    companion object {
        private const val FIRST_DATA_CODE = 64
        private val byCode = entries.associateBy { it.code }

        fun of(code: Byte): FrameKind? = byCode[code]
    }
}
