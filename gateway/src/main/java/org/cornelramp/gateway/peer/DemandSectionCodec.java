package org.cornelramp.gateway.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.admission.DemandReport.PriorityDemand;
import org.cornelramp.core.admission.DemandReport.ServiceDemand;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.PrefixSketch;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the last section of an update as MessagePack and decodes it. Stateless, safe for use by any thread.
 *
 * <p>Rates are integers, which take fewer bytes than floating-point numbers and always decode to finite values.
 */
final class DemandSectionCodec {
    /** Maximum size of an encoded section; a report that takes more is reduced. */
    static final int MAX_BYTES = 1_399;

    /** Steps per unit of the figures of a status. */
    private static final double STATUS_STEPS = 1_000;

    private DemandSectionCodec() {}

    static byte[] write(DemandSection section) throws IOException {
        byte[] bytes = encode(section);
        DemandSection reduced = section;
        while (bytes.length > MAX_BYTES) {
            reduced = new DemandSection(
                    reduced.report().map(DemandReport::reduced),
                    reduced.recipients(),
                    reduced.status(),
                    reduced.prefixes());
            bytes = encode(reduced);
        }
        return bytes;
    }

    private static byte[] encode(DemandSection section) throws IOException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packBoolean(section.report().isPresent());
            if (section.report().isPresent()) {
                writeReport(section.report().get(), out);
            }
            out.packInt(section.recipients());
            out.packBoolean(section.status().isPresent());
            if (section.status().isPresent()) {
                GatewayStatus status = section.status().get();
                out.packLong(Math.round(status.capacityCores() * STATUS_STEPS));
                out.packLong(Math.round(status.load() * STATUS_STEPS));
                out.packBoolean(status.ready());
            }
            if (!section.prefixes().isEmpty()) {
                byte[] sketch = section.prefixes().encode();
                out.packBinaryHeader(sketch.length).writePayload(sketch);
            }
            return out.toByteArray();
        }
    }

    private static void writeReport(DemandReport report, MessageBufferPacker out) throws IOException {
        out.packArrayHeader(report.services().size());
        for (ServiceDemand service : report.services()) {
            out.packString(service.service().value());
            out.packArrayHeader(service.priorities().size());
            for (PriorityDemand row : service.priorities()) {
                out.packInt(row.priority());
                out.packLong(DemandReport.steps(row.arrivalsPerSecond()));
                out.packInt(row.waiting());
                out.packLong(row.tokenLayers());
                out.packLong(DemandReport.steps(row.refusedPerSecond()));
            }
            out.packMapHeader(service.tokenLayers().size());
            for (Map.Entry<OrganisationId, Long> inUse : service.tokenLayers().entrySet()) {
                out.packString(inUse.getKey().value());
                out.packLong(inUse.getValue());
            }
        }
        out.packMapHeader(report.plainInFlight().size());
        for (Map.Entry<BackendServerId, Integer> inFlight :
                report.plainInFlight().entrySet()) {
            out.packString(inFlight.getKey().value());
            out.packInt(inFlight.getValue());
        }
    }

    static DemandSection read(MessageUnpacker in) throws IOException {
        Optional<DemandReport> report = in.unpackBoolean() ? Optional.of(readReport(in)) : Optional.empty();
        int recipients = in.unpackInt();
        Optional<GatewayStatus> status = in.unpackBoolean() ? Optional.of(readStatus(in)) : Optional.empty();
        return new DemandSection(report, recipients, status, in.hasNext() ? readPrefixes(in) : PrefixSketch.EMPTY);
    }

    /** Reads the sketch, which gateways before its introduction leave out and ignore at the end of an update. */
    private static PrefixSketch readPrefixes(MessageUnpacker in) throws IOException {
        int size = in.unpackBinaryHeader();
        if (size > PrefixSketch.MAX_BYTES) {
            throw new IllegalArgumentException("A sketch is too large; bytes=" + size);
        }
        return PrefixSketch.decode(in.readPayload(size));
    }

    private static GatewayStatus readStatus(MessageUnpacker in) throws IOException {
        long capacity = in.unpackLong();
        long load = in.unpackLong();
        if (capacity < 0 || load < 0) {
            throw new IllegalArgumentException(
                    "A gateway's capacity and load must not be negative; capacity=" + capacity + ", load=" + load);
        }
        return new GatewayStatus(capacity / STATUS_STEPS, load / STATUS_STEPS, in.unpackBoolean());
    }

    private static DemandReport readReport(MessageUnpacker in) throws IOException {
        List<ServiceDemand> services = new ArrayList<>();
        for (int left = in.unpackArrayHeader(); left > 0; left--) {
            services.add(
                    new ServiceDemand(new ServiceName(in.unpackString()), readPriorities(in), readOrganisations(in)));
        }
        Map<BackendServerId, Integer> plainInFlight = new HashMap<>();
        for (int left = in.unpackMapHeader(); left > 0; left--) {
            plainInFlight.put(new BackendServerId(in.unpackString()), in.unpackInt());
        }
        return new DemandReport(services, plainInFlight);
    }

    private static List<PriorityDemand> readPriorities(MessageUnpacker in) throws IOException {
        List<PriorityDemand> rows = new ArrayList<>();
        for (int left = in.unpackArrayHeader(); left > 0; left--) {
            rows.add(new PriorityDemand(
                    in.unpackInt(),
                    DemandReport.rate(in.unpackLong()),
                    in.unpackInt(),
                    in.unpackLong(),
                    DemandReport.rate(in.unpackLong())));
        }
        return rows;
    }

    private static Map<OrganisationId, Long> readOrganisations(MessageUnpacker in) throws IOException {
        Map<OrganisationId, Long> tokenLayers = new HashMap<>();
        for (int left = in.unpackMapHeader(); left > 0; left--) {
            tokenLayers.put(new OrganisationId(in.unpackString()), in.unpackLong());
        }
        return tokenLayers;
    }
}
