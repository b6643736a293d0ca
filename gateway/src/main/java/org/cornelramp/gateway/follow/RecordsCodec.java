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

/** MessagePack encoding of the records that gateways exchange. Stateless, safe for use by any thread. */
final class RecordsCodec {
    private RecordsCodec() {}

    static byte[] write(RecordCache.RecordSet recordSet) {
        MetadataStore.Page page = recordSet.page();
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packBoolean(recordSet.complete());
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
            throw new IllegalStateException("MessagePack encoding to a memory buffer failed", e);
        }
    }

    /** Decodes records; the left side says why the bytes are invalid. */
    static Either<String, RecordCache.RecordSet> read(byte[] bytes) {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            boolean complete = in.unpackBoolean();
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
            return Either.right(new RecordCache.RecordSet(new MetadataStore.Page(records, next, era), complete));
        } catch (IOException | RuntimeException e) {
            return Either.left(e.toString());
        }
    }
}
