package org.cornelramp.gateway.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.limit.RateLimitUpdate;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.core.poison.PoisonUpdate;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.follow.ReadCoordinator;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes the updates between gateways as MessagePack and decodes them. Stateless, safe for use by any thread. */
final class PeerUpdateCodec {
    private static final int FORMAT = 10;

    /**
     * Updates of this format end before the demand. A process of the previous build ignores updates of any later format
     * as a whole, so an update without demand is written in this one.
     */
    private static final int FORMAT_WITHOUT_DEMAND = 9;

    /** Updates of this format end before the crashes. */
    private static final int FORMAT_WITHOUT_CRASHES = 8;

    /** Positions of this format do not say how long they are valid. */
    private static final int FORMAT_WITHOUT_VALIDITY = 7;

    /** Updates of this format end before the limits. */
    private static final int FORMAT_WITHOUT_LIMITS = 6;

    /** Stands for an answer that names no limit. */
    private static final double NO_LIMIT = -1;

    private PeerUpdateCodec() {}

    static byte[] write(PeerUpdate update) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packInt(update.demandSection().isEmpty() ? FORMAT_WITHOUT_DEMAND : FORMAT);
            out.packString(update.sender().name());
            out.packLong(update.sender().incarnation());
            out.packString(update.sender().dataCentre().value());
            out.packLong(update.sequenceNumber());
            out.packBoolean(update.leaving());
            out.packBoolean(update.loads().isPresent());
            if (update.loads().isPresent()) {
                writeLoads(update.loads().get(), out);
            }
            out.packInt(update.crossings());
            out.packMapHeader(update.slowdowns().size());
            for (Map.Entry<BackendServerId, Double> pace : update.slowdowns().entrySet()) {
                out.packString(pace.getKey().value());
                out.packDouble(pace.getValue());
            }
            out.packArrayHeader(update.suspects().size());
            for (BackendServerId id : update.suspects()) {
                out.packString(id.value());
            }
            writeRetryLoans(update.retryLoans(), out);
            out.packArrayHeader(update.recentPeers().size());
            for (HostPort peer : update.recentPeers()) {
                out.packString(peer.toString());
            }
            out.packBoolean(update.reading().isPresent());
            if (update.reading().isPresent()) {
                ReadCoordinator.ReadPosition reading = update.reading().get();
                out.packString(reading.recordsAddress().toString());
                out.packLong(reading.configEnd());
                out.packLong(reading.serversEnd());
                out.packLong(reading.era());
                out.packLong(reading.sentMillis());
                out.packLong(reading.validMillis());
            }
            out.packLong(update.configVersion());
            writeRateLimits(update.rateLimits(), out);
            writePoison(update.poison(), out);
            if (!update.demandSection().isEmpty()) {
                out.writePayload(DemandSectionCodec.write(update.demandSection()));
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("Writing to memory failed", e);
        }
    }

    private static void writePoison(PoisonUpdate poison, MessageBufferPacker out) throws IOException {
        out.packArrayHeader(poison.crashes().size());
        for (PoisonUpdate.ToldCrash crash : poison.crashes()) {
            out.packString(crash.crashId());
            out.packLong(crash.ageMillis());
            out.packArrayHeader(crash.suspects().size());
            for (String suspect : crash.suspects()) {
                out.packString(suspect);
            }
        }
        writeTimes(poison.refusals(), out);
        writeTimes(poison.clearances(), out);
        writeTimes(poison.signsOfLife(), out);
    }

    private static void writeTimes(Map<String, Long> times, MessageBufferPacker out) throws IOException {
        out.packMapHeader(times.size());
        for (Map.Entry<String, Long> time : times.entrySet()) {
            out.packString(time.getKey());
            out.packLong(time.getValue());
        }
    }

    private static PoisonUpdate readPoison(MessageUnpacker in) throws IOException {
        List<PoisonUpdate.ToldCrash> crashes = new ArrayList<>();
        for (int left = in.unpackArrayHeader(); left > 0; left--) {
            String crashId = in.unpackString();
            long ageMillis = in.unpackLong();
            Set<String> suspects = new HashSet<>();
            for (int more = in.unpackArrayHeader(); more > 0; more--) {
                suspects.add(in.unpackString());
            }
            crashes.add(new PoisonUpdate.ToldCrash(crashId, ageMillis, suspects));
        }
        return new PoisonUpdate(crashes, readTimes(in), readTimes(in), readTimes(in));
    }

    private static Map<String, Long> readTimes(MessageUnpacker in) throws IOException {
        Map<String, Long> times = new HashMap<>();
        for (int left = in.unpackMapHeader(); left > 0; left--) {
            times.put(in.unpackString(), in.unpackLong());
        }
        return times;
    }

    private static void writeLoads(Map<BackendServerId, EngineLoads.Load> loads, MessageBufferPacker out)
            throws IOException {
        out.packMapHeader(loads.size());
        for (Map.Entry<BackendServerId, EngineLoads.Load> load : loads.entrySet()) {
            out.packString(load.getKey().value());
            out.packInt(load.getValue().requests());
            out.packInt(load.getValue().asFirstEngine());
            out.packLong(load.getValue().tokenLayers());
            out.packInt(load.getValue().pendingPromptTokens());
        }
    }

    private static Map<BackendServerId, EngineLoads.Load> readLoads(MessageUnpacker in) throws IOException {
        Map<BackendServerId, EngineLoads.Load> loads = new HashMap<>();
        for (int left = in.unpackMapHeader(); left > 0; left--) {
            BackendServerId id = new BackendServerId(in.unpackString());
            loads.put(id, new EngineLoads.Load(in.unpackInt(), in.unpackInt(), in.unpackLong(), in.unpackInt()));
        }
        return loads;
    }

    private static void writeRateLimits(Map<BackendServerId, RateLimitUpdate> limits, MessageBufferPacker out)
            throws IOException {
        out.packMapHeader(limits.size());
        for (Map.Entry<BackendServerId, RateLimitUpdate> limit : limits.entrySet()) {
            out.packString(limit.getKey().value());
            out.packLong(limit.getValue().sent());
            Optional<RateLimitUpdate.Observation> observed = limit.getValue().observed();
            out.packBoolean(observed.isPresent());
            if (observed.isPresent()) {
                out.packLong(observed.get().ageMillis());
                out.packDouble(observed.get().requestsPerSecond().orElse(NO_LIMIT));
            }
        }
    }

    private static Map<BackendServerId, RateLimitUpdate> readRateLimits(MessageUnpacker in) throws IOException {
        Map<BackendServerId, RateLimitUpdate> limits = new HashMap<>();
        for (int left = in.unpackMapHeader(); left > 0; left--) {
            BackendServerId id = new BackendServerId(in.unpackString());
            long sent = in.unpackLong();
            limits.put(id, new RateLimitUpdate(in.unpackBoolean() ? readObservation(in) : Optional.empty(), sent));
        }
        return limits;
    }

    private static Optional<RateLimitUpdate.Observation> readObservation(MessageUnpacker in) throws IOException {
        long ageMillis = in.unpackLong();
        double rate = in.unpackDouble();
        return Optional.of(
                new RateLimitUpdate.Observation(rate == NO_LIMIT ? Optional.empty() : Optional.of(rate), ageMillis));
    }

    /** Reads a position; one that does not say how long it is valid is not used. */
    private static Optional<ReadCoordinator.ReadPosition> readPosition(MessageUnpacker in, int format)
            throws IOException {
        HostPort address = HostPort.parse(in.unpackString());
        long configEnd = in.unpackLong();
        long serversEnd = in.unpackLong();
        long era = in.unpackLong();
        return format <= FORMAT_WITHOUT_VALIDITY
                ? Optional.empty()
                : Optional.of(new ReadCoordinator.ReadPosition(
                        address, configEnd, serversEnd, era, in.unpackLong(), in.unpackLong()));
    }

    private static void writeRetryLoans(RetryLoanUpdate retryLoans, MessageBufferPacker out) throws IOException {
        out.packMapHeader(retryLoans.loanRequests().size());
        for (Map.Entry<ServiceName, RetryLoanUpdate.LoanRequest> ask :
                retryLoans.loanRequests().entrySet()) {
            out.packString(ask.getKey().value());
            out.packLong(ask.getValue().id());
            out.packInt(ask.getValue().amount());
        }
        out.packMapHeader(retryLoans.loans().size());
        for (Map.Entry<ServiceName, List<RetryLoanUpdate.Loan>> loans :
                retryLoans.loans().entrySet()) {
            out.packString(loans.getKey().value());
            out.packArrayHeader(loans.getValue().size());
            for (RetryLoanUpdate.Loan loan : loans.getValue()) {
                out.packString(loan.borrower());
                out.packLong(loan.requestId());
                out.packInt(loan.amount());
            }
        }
    }

    private static RetryLoanUpdate readRetryLoans(MessageUnpacker in) throws IOException {
        Map<ServiceName, RetryLoanUpdate.LoanRequest> asks = new HashMap<>();
        for (int left = in.unpackMapHeader(); left > 0; left--) {
            asks.put(
                    new ServiceName(in.unpackString()),
                    new RetryLoanUpdate.LoanRequest(in.unpackLong(), in.unpackInt()));
        }
        Map<ServiceName, List<RetryLoanUpdate.Loan>> loans = new HashMap<>();
        for (int left = in.unpackMapHeader(); left > 0; left--) {
            loans.put(new ServiceName(in.unpackString()), readLoans(in));
        }
        return new RetryLoanUpdate(asks, loans);
    }

    private static List<RetryLoanUpdate.Loan> readLoans(MessageUnpacker in) throws IOException {
        List<RetryLoanUpdate.Loan> loans = new ArrayList<>();
        for (int left = in.unpackArrayHeader(); left > 0; left--) {
            loans.add(new RetryLoanUpdate.Loan(in.unpackString(), in.unpackLong(), in.unpackInt()));
        }
        return loans;
    }

    /** The section is not MessagePack, see {@link CompactNumbers}; it takes the rest of the update. */
    private static DemandSection readDemand(MessageUnpacker in, byte[] bytes, int length) {
        int start = (int) in.getTotalReadBytes();
        return DemandSectionCodec.read(ByteBuffer.wrap(bytes, start, length - start));
    }

    /** Decodes an update; the left side describes what is wrong with the bytes. */
    static Either<String, PeerUpdate> read(byte[] bytes, int length) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
            int format = in.unpackInt();
            if (format < FORMAT_WITHOUT_LIMITS || format > FORMAT) {
                return Either.left("unknown format " + format);
            }
            PeerUpdate.Sender sender =
                    new PeerUpdate.Sender(in.unpackString(), in.unpackLong(), new DataCentre(in.unpackString()));
            long number = in.unpackLong();
            boolean leaving = in.unpackBoolean();
            Optional<Map<BackendServerId, EngineLoads.Load>> loads =
                    in.unpackBoolean() ? Optional.of(readLoads(in)) : Optional.empty();
            int crossings = in.unpackInt();
            Map<BackendServerId, Double> paces = new HashMap<>();
            for (int left = in.unpackMapHeader(); left > 0; left--) {
                paces.put(new BackendServerId(in.unpackString()), in.unpackDouble());
            }
            Set<BackendServerId> suspects = new HashSet<>();
            for (int left = in.unpackArrayHeader(); left > 0; left--) {
                suspects.add(new BackendServerId(in.unpackString()));
            }
            RetryLoanUpdate retryLoans = readRetryLoans(in);
            List<HostPort> recentPeers = new ArrayList<>();
            for (int left = in.unpackArrayHeader(); left > 0; left--) {
                recentPeers.add(HostPort.parse(in.unpackString()));
            }
            Optional<ReadCoordinator.ReadPosition> reading =
                    in.unpackBoolean() ? readPosition(in, format) : Optional.empty();
            long version = in.unpackLong();
            Map<BackendServerId, RateLimitUpdate> rateLimits =
                    format > FORMAT_WITHOUT_LIMITS ? readRateLimits(in) : Map.of();
            PoisonUpdate poison = format > FORMAT_WITHOUT_CRASHES ? readPoison(in) : PoisonUpdate.NONE;
            DemandSection demand = format > FORMAT_WITHOUT_DEMAND ? readDemand(in, bytes, length) : DemandSection.NONE;
            return Either.right(new PeerUpdate(
                    sender,
                    number,
                    leaving,
                    loads,
                    crossings,
                    paces,
                    suspects,
                    retryLoans,
                    recentPeers,
                    reading,
                    version,
                    rateLimits,
                    poison,
                    demand));
        } catch (IOException | RuntimeException e) {
            return Either.left(e.toString());
        }
    }
}
