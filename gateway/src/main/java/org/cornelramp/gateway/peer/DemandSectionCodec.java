package org.cornelramp.gateway.peer;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.admission.DemandReport.PriorityDemand;
import org.cornelramp.core.admission.DemandReport.ServiceDemand;
import org.cornelramp.core.admission.NameHash;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.path.PrefixSketch;

/**
 * Encodes the last section of an update and decodes it. Stateless, safe for use by any thread.
 *
 * <p>The first byte holds the number of services plus one, 0 without a report, and five flags. The interval follows, then
 * the status, the rows of the services, those of the plain servers and the beginnings of prompts. The details of a report,
 * capacity in use and refusals, are rounded to one byte each; the other figures are exact.
 */
final class DemandSectionCodec {
    /** Maximum size of an encoded section; a report that takes more is reduced. */
    static final int MAX_BYTES = 1_399;

    private static final int SERVICES_MASK = 7;
    private static final int DETAILED = 1 << 3;
    private static final int STATUS = 1 << 4;
    private static final int READY = 1 << 5;
    private static final int PREFIXES = 1 << 6;
    private static final int OMITTED = 1 << 7;

    /** Largest priority in a row; the bit above marks the last row of a service. */
    private static final int MAX_PRIORITY = 127;

    private static final int LAST_ROW = 1 << 7;

    /** Steps per unit of the figures of a status. */
    private static final double STATUS_STEPS = 1_000;

    private DemandSectionCodec() {}

    /** Number of bytes of an encoded section. */
    static int size(DemandSection section) {
        try {
            return write(section).length;
        } catch (IOException e) {
            throw new IllegalStateException("Writing to memory failed", e);
        }
    }

    static byte[] write(DemandSection section) throws IOException {
        byte[] bytes = encode(section);
        DemandSection reduced = section;
        while (bytes.length > MAX_BYTES) {
            reduced = reduced.reduced();
            bytes = encode(reduced);
        }
        return bytes;
    }

    private static byte[] encode(DemandSection section) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(firstByte(section));
        if (hasInterval(section.omitted(), !section.prefixes().isEmpty())) {
            CompactNumbers.writeNumber(section.intervalRounds(), out);
        }
        if (section.status().isPresent()) {
            CompactNumbers.writeNumber(steps(section.status().get().capacityCores()), out);
            CompactNumbers.writeNumber(steps(section.status().get().load()), out);
        }
        if (section.report().isPresent()) {
            writeReport(section.report().get(), out);
        }
        if (!section.prefixes().isEmpty()) {
            byte[] sketch = section.prefixes().encode();
            CompactNumbers.writeNumber(sketch.length, out);
            out.write(sketch);
        }
        return bytes.toByteArray();
    }

    /** Whether the section contains anything that counts for a time. */
    private static boolean hasInterval(boolean omitted, boolean prefixes) {
        return !omitted || prefixes;
    }

    private static int firstByte(DemandSection section) {
        return section.report().map(report -> report.services().size() + 1).orElse(0)
                | (section.report().filter(DemandReport::detailed).isPresent() ? DETAILED : 0)
                | (section.status().isPresent() ? STATUS : 0)
                | (section.status().filter(GatewayStatus::ready).isPresent() ? READY : 0)
                | (section.prefixes().isEmpty() ? 0 : PREFIXES)
                | (section.omitted() ? OMITTED : 0);
    }

    private static long steps(double figure) {
        return Math.max(0, Math.round(figure * STATUS_STEPS));
    }

    private static void writeReport(DemandReport report, DataOutputStream out) throws IOException {
        for (ServiceDemand service : report.services()) {
            out.writeInt(service.service().value());
            writePriorities(service.priorities(), report.detailed(), out);
            if (report.detailed()) {
                out.writeByte(service.tokenLayers().size());
                for (Map.Entry<NameHash, Long> inUse : service.tokenLayers().entrySet()) {
                    out.writeInt(inUse.getKey().value());
                    CompactNumbers.writeLevel(inUse.getValue(), out);
                }
            }
        }
        out.writeByte(report.plainInFlight().size());
        for (Map.Entry<NameHash, Integer> inFlight : report.plainInFlight().entrySet()) {
            out.writeInt(inFlight.getKey().value());
            CompactNumbers.writeNumber(inFlight.getValue(), out);
        }
    }

    /** Writes at least one row: a service without any has one without demand. */
    private static void writePriorities(List<PriorityDemand> priorities, boolean detailed, DataOutputStream out)
            throws IOException {
        List<PriorityDemand> rows = priorities.isEmpty() ? List.of(new PriorityDemand(0, 0, 0, 0, 0)) : priorities;
        for (int i = 0; i < rows.size(); i++) {
            PriorityDemand row = rows.get(i);
            int priority = Math.max(0, Math.min(MAX_PRIORITY, row.priority()));
            out.writeByte(priority | (i == rows.size() - 1 ? LAST_ROW : 0));
            CompactNumbers.writeNumber(DemandReport.steps(row.arrivalsPerSecond()), out);
            CompactNumbers.writeNumber(row.waiting(), out);
            if (detailed) {
                CompactNumbers.writeLevel(row.tokenLayers(), out);
                CompactNumbers.writeLevel(DemandReport.steps(row.refusedPerSecond()), out);
            }
        }
    }

    /** Decodes the section from the rest of an update. */
    static DemandSection read(ByteBuffer in) {
        int first = in.get();
        int interval = hasInterval((first & OMITTED) != 0, (first & PREFIXES) != 0) ? CompactNumbers.readInt(in) : 0;
        Optional<GatewayStatus> status =
                (first & STATUS) == 0 ? Optional.empty() : Optional.of(readStatus(in, (first & READY) != 0));
        int services = (first & SERVICES_MASK) - 1;
        Optional<DemandReport> report =
                services < 0 ? Optional.empty() : Optional.of(readReport(in, services, (first & DETAILED) != 0));
        PrefixSketch prefixes = (first & PREFIXES) == 0 ? PrefixSketch.EMPTY : readPrefixes(in);
        return new DemandSection(report, interval, status, prefixes, (first & OMITTED) != 0);
    }

    private static PrefixSketch readPrefixes(ByteBuffer in) {
        int size = CompactNumbers.readInt(in);
        if (size > PrefixSketch.MAX_BYTES) {
            throw new IllegalArgumentException("A sketch is too large; bytes=" + size);
        }
        byte[] sketch = new byte[size];
        in.get(sketch);
        return PrefixSketch.decode(sketch);
    }

    private static GatewayStatus readStatus(ByteBuffer in, boolean ready) {
        double capacity = CompactNumbers.readNumber(in) / STATUS_STEPS;
        return new GatewayStatus(capacity, CompactNumbers.readNumber(in) / STATUS_STEPS, ready);
    }

    private static DemandReport readReport(ByteBuffer in, int serviceCount, boolean detailed) {
        List<ServiceDemand> services = new ArrayList<>();
        for (int left = serviceCount; left > 0; left--) {
            NameHash name = new NameHash(in.getInt());
            List<PriorityDemand> rows = readPriorities(in, detailed);
            services.add(new ServiceDemand(name, rows, detailed ? readOrganisations(in) : Map.of()));
        }
        Map<NameHash, Integer> plainInFlight = new HashMap<>();
        for (int left = Byte.toUnsignedInt(in.get()); left > 0; left--) {
            plainInFlight.put(new NameHash(in.getInt()), CompactNumbers.readInt(in));
        }
        return new DemandReport(services, plainInFlight, detailed);
    }

    private static List<PriorityDemand> readPriorities(ByteBuffer in, boolean detailed) {
        List<PriorityDemand> rows = new ArrayList<>();
        int first;
        do {
            first = Byte.toUnsignedInt(in.get());
            rows.add(new PriorityDemand(
                    first & MAX_PRIORITY,
                    DemandReport.rate(CompactNumbers.readNumber(in)),
                    CompactNumbers.readInt(in),
                    detailed ? CompactNumbers.readLevel(in) : 0,
                    detailed ? DemandReport.rate(CompactNumbers.readLevel(in)) : 0));
        } while ((first & LAST_ROW) == 0);
        return rows;
    }

    private static Map<NameHash, Long> readOrganisations(ByteBuffer in) {
        Map<NameHash, Long> tokenLayers = new HashMap<>();
        for (int left = Byte.toUnsignedInt(in.get()); left > 0; left--) {
            tokenLayers.put(new NameHash(in.getInt()), CompactNumbers.readLevel(in));
        }
        return tokenLayers;
    }
}
