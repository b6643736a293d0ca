package org.cornelramp.gateway.follow;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.platform.MetadataStore;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** The MessagePack form of records between gateways. Stateless, safe for use by any thread. */
final class RecordsCodec {
    private RecordsCodec() {}

    static byte[] write(RecordCache.Part part) {
        MetadataStore.Page page = part.page();
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packBoolean(part.whole());
            out.packLong(page.next());
            out.packLong(page.era());
            out.packArrayHeader(page.records().size());
            for (MetadataStore.KeyedRecord record : page.records()) {
                byte[] value = record.value().orElse(new byte[0]);
                out.packLong(record.offset());
                out.packString(record.key());
                out.packBinaryHeader(value.length);
                out.writePayload(value);
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("Memory takes every byte", e);
        }
    }

    /** Reads records; the left side says what is wrong with the bytes. */
    static Either<String, RecordCache.Part> read(byte[] bytes) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            boolean whole = in.unpackBoolean();
            long next = in.unpackLong();
            long era = in.unpackLong();
            List<MetadataStore.KeyedRecord> records = new ArrayList<>();
            for (int left = in.unpackArrayHeader(); left > 0; left--) {
                long offset = in.unpackLong();
                String key = in.unpackString();
                byte[] value = in.readPayload(in.unpackBinaryHeader());
                records.add(new MetadataStore.KeyedRecord(
                        offset, key, value.length == 0 ? Optional.empty() : Optional.of(value)));
            }
            return Either.right(new RecordCache.Part(new MetadataStore.Page(records, next, era), whole));
        } catch (IOException | RuntimeException e) {
            return Either.left(e.toString());
        }
    }
}
