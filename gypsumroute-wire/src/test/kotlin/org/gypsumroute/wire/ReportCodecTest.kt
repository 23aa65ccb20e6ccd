package org.gypsumroute.wire

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import org.gypsumroute.api.CrashReport
import org.gypsumroute.api.EndpointAddress
import org.gypsumroute.api.EndpointId
import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.EngineLoad
import org.gypsumroute.api.EngineUse
import org.gypsumroute.api.GapTolerance
import org.gypsumroute.api.GatewayReport
import org.gypsumroute.api.HostId
import org.gypsumroute.api.IncarnationId
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.PromptPartId
import org.gypsumroute.api.ReportedClearance
import org.gypsumroute.api.ReportedLeaving
import org.gypsumroute.api.ReportedLoss
import org.gypsumroute.api.ReportedPace
import org.gypsumroute.api.ReportedSuspicion
import org.gypsumroute.api.Revision
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceUse
import org.gypsumroute.api.StoreEra
import org.gypsumroute.api.StorePosition
import org.gypsumroute.api.TableVersion
import org.gypsumroute.api.UnixTime

class ReportCodecTest {
    private fun Random.duration() = nextLong(0, 1_000_000).milliseconds

    private fun Random.load() = EngineLoad(
        openRequests = nextInt(0, 500),
        decodingRequests = nextInt(0, 500),
        context = nextLong(0, 10_000_000),
        pendingPrefill = duration(),
        totalPrefillSent = duration(),
        totalHelperPrefillSent = duration(),
        delayCostPerSecond = nextInt(0, 10_000) / 100.0,
        gapTolerances = List(nextInt(0, 4)) {
            GapTolerance(
                if (nextBoolean()) Duration.INFINITE else duration(),
                nextInt(0, 10_000) / 100.0
            )
        }
    )

    private fun Random.report() = GatewayReport(
        host = HostId("gateway-${nextInt()}"),
        incarnation = IncarnationId("i${nextLong()}"),
        sequence = nextLong(),
        position = StorePosition(
            StoreEra(nextLong(0, Long.MAX_VALUE)),
            Revision(nextLong(0, Long.MAX_VALUE))
        ),
        storeReachable = nextBoolean(),
        ready = nextBoolean(),
        loads = List(nextInt(0, 5)) { EndpointId("e$it") to load() }.toMap(),
        members = List(nextInt(0, 5)) { EndpointAddress("10.0.0.$it", nextInt(1, 65_536)) },
        crashes = crashReport(nextInt(0, 4)),
        age = duration(),
        leaving = List(nextInt(0, 4)) {
            val start = if (nextBoolean()) UnixTime(nextLong()) else null
            ReportedLeaving(EndpointId("e$it"), start, duration(), byRecord = nextBoolean())
        },
        storeAnswerAge = if (nextBoolean()) duration() else null,
        tableVersion = if (nextBoolean()) TableVersion(nextLong()) else null,
        paces = List(nextInt(0, 4)) {
            val start = if (nextBoolean()) UnixTime(nextLong()) else null
            val ratio = nextInt(100, 3_200) / 100.0
            ReportedPace(EndpointId("e$it"), start, ratio, nextInt(1, 500) / 100.0)
        }
    )

    private fun Random.reportUnderShortage() = report().copy(
        organisationUse = List(nextInt(0, 3)) { serviceUse("model-$it", nextInt(0, 5)) }
    )

    private fun Random.engineUse() = EngineUse(duration(), duration())

    private fun Random.serviceUse(service: String, organisations: Int) = ServiceUse(
        ServiceId(service),
        List(organisations) { OrganisationDigest(nextInt()) to engineUse() }.toMap(),
        engineUse(),
        nextInt(0, 1000)
    )

    private fun Random.parts() = List(nextInt(1, 4)) { PromptPartId(nextLong()) }

    private fun Random.crashReport(parts: Int) = CrashReport(
        suspicions = List(parts) {
            ReportedSuspicion(
                parts(),
                nextInt(0, 9),
                List(nextInt(0, 6)) {
                    ReportedLoss(
                        EndpointStart(nextInt()),
                        OrganisationDigest(nextInt()),
                        duration(),
                        duration()
                    )
                }
            )
        },
        clearances = List(parts) { ReportedClearance(parts(), duration()) }
    )

    @Test
    fun `every report is decoded as it was encoded`() {
        repeat(500) { seed ->
            val report = Random(seed).reportUnderShortage()
            assertEquals(report, decodeReport(encodeReport(report)).getOrNull(), "seed $seed")
        }
    }

    /**
     * Datagrams may come from any sender. If decoding one threw, the event loop would stop reading.
     */
    @Test
    fun `decoding corrupted datagrams never throws and rejects malformed ones`() {
        repeat(2000) { seed ->
            val random = Random(seed)
            val bytes = encodeReport(random.reportUnderShortage())
            val corrupted = bytes.copyOf(random.nextInt(bytes.size + 1))
            if (corrupted.isNotEmpty()) {
                corrupted[random.nextInt(corrupted.size)] = random.nextInt().toByte()
            }
            decodeReport(corrupted)
        }
        assertNotNull(decodeReport(ByteArray(0)).leftOrNull())
        assertNotNull(decodeReport(byteArrayOf(9, 1, 2)).leftOrNull())
    }

    /**
     * Guards against a gateway that stops sending its reports because one of the members that a
     * datagram names has a port that no socket accepts.
     */
    @Test
    fun `a report that names a member with a port out of range is rejected`() {
        for (port in listOf(-1, 0, 65_536, 99_999)) {
            val report = Random(1).report()
                .copy(members = listOf(EndpointAddress("10.0.0.1", port)))
            assertNotNull(decodeReport(encodeReport(report)).leftOrNull(), "$port")
        }
    }

    /** Guards against datagrams that overflow the stack or the memory of their receiver. */
    @Test
    fun `a report that is nested deeply or states a huge size is rejected`() {
        val bodies = listOf(0x81, 0x9f, 0xbf, 0xa1, 0xc1).map { opening ->
            ByteArray(MAX_DATAGRAM) { opening.toByte() }
        } + listOf(0x9b, 0xbb, 0x5b, 0x7b).map { opening ->
            // A map with the field 6 of the loads, or an unknown one, of 2^31 - 1 elements.
            byteArrayOf(0xbf.toByte(), 6, opening.toByte(), 0, 0, 0, 0, 0x7f, -1, -1, -1)
        } + listOf(0x81, 0xa1).map { opening ->
            byteArrayOf(0xbf.toByte(), 0x18, 99) + ByteArray(MAX_DATAGRAM) { opening.toByte() }
        }
        for (body in bodies) {
            assertNotNull(decodeReport(byteArrayOf(1) + body).leftOrNull())
        }
    }

    /**
     * A gateway sends up to a hundred reports a second to every other gateway, so a report should
     * not need more than one packet of a network with an MTU of 1500 bytes.
     */
    @Test
    fun `a report of a gateway with work at sixteen engines fits one unfragmented datagram`() {
        val loads = List(16) { number ->
            val gapTolerances = List(3) { GapTolerance((200 * (it + 1)).milliseconds, 3.5) }
            EndpointId("i-9e16b79e8$number") to
                Random(number).load().copy(gapTolerances = gapTolerances)
        }.toMap()
        val report = Random(1).report().copy(loads = loads, crashes = CrashReport())
        assertTrue(encodeReport(report).size <= 1472, "${encodeReport(report).size} bytes")
    }

    /** Gateways of an older build neither send nor expect the reports of crashes. */
    @Test
    fun `a report without crashes takes no more bytes than before`() {
        val report = Random(2).report()
        val plain = encodeReport(report.copy(crashes = CrashReport()))
        val text = String(plain, Charsets.ISO_8859_1)
        assertEquals(report.copy(crashes = CrashReport()), decodeReport(plain).getOrNull())
        assertTrue(plain.size < 300, "${plain.size} bytes: $text")
    }

    @Test
    fun `the largest report of crashes fits one unfragmented datagram by itself`() {
        val random = Random(3)
        fun parts(count: Int) = List(count) { PromptPartId(random.nextLong()) }
        val losses = List(4) {
            ReportedLoss(
                EndpointStart(Int.MIN_VALUE),
                OrganisationDigest(Int.MIN_VALUE),
                1.days,
                1.days
            )
        }
        val crashes = CrashReport(
            List(8) { ReportedSuspicion(parts(3), 2, losses) },
            List(8) { ReportedClearance(parts(2), 1.days) }
        )
        val report = random.report().copy(loads = emptyMap(), crashes = crashes)
        val bytes = encodeReport(report).size
        assertTrue(bytes <= 1472, "$bytes bytes")
    }

    /** Guards against reports that no longer fit one packet under shortage. */
    @Test
    fun `the use of four organisations takes less than 150 bytes`() {
        val report = Random(4).report()
        val use = List(4) { OrganisationDigest(Int.MIN_VALUE + it) to EngineUse(1.days, 1.days) }
        val service = ServiceUse(
            ServiceId("model-4f1b2c7d90"),
            use.toMap(),
            EngineUse(1.days, 1.days),
            540
        )
        val added = encodeReport(report.copy(organisationUse = listOf(service))).size -
            encodeReport(report).size
        assertTrue(added < 150, "$added bytes")
    }

    /** Guards against a version of gateways that cannot read the reports of the one before. */
    @Test
    fun `a report without the use of organisations is decoded as before`() {
        val withoutField = "01 a5 01 6161 02 6162 03 07 04 08 05 f5".replace(" ", "")
            .chunked(2).map { it.toInt(16).toByte() }.toByteArray()
        val report = decodeReport(withoutField).getOrNull()!!
        assertEquals(emptyList(), report.organisationUse)
        assertEquals(withoutField.size, encodeReport(report).size)
    }

    /** Guards against datagrams that make their receivers count any number of organisations. */
    @Test
    fun `entries beyond the limit and figures out of range are not taken over`() {
        val random = Random(5)
        val tooMany = ServiceUse(
            ServiceId("m"),
            List(50) { OrganisationDigest(it) to EngineUse(-1.days, 99_999.days) }.toMap(),
            EngineUse(-1.days, 99_999.days),
            -3
        )
        val report = random.report().copy(organisationUse = List(50) { tooMany })
        val decoded = decodeReport(encodeReport(report)).getOrNull()!!.organisationUse
        val limited = EngineUse(Duration.ZERO, 30.days)
        assertEquals(4, decoded.size)
        for (use in decoded) {
            assertEquals(List(4) { limited }, use.largest.values.toList())
            assertEquals(limited, use.others)
            assertEquals(0, use.activeOrganisations)
        }
    }

    private companion object {
        const val MAX_DATAGRAM = 16 * 1024
    }
}
