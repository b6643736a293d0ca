package org.cornelramp.bench.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;

/** Appends edits that each add one row for a new organisation. Confined to one thread. */
final class TableEdits {
    private static final int BATCH = 250;
    private static final int WEIGHT = 10;

    private final Fleet fleet;
    private int rows;

    TableEdits(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Adds rows until their number is {@code target}. */
    void growTo(int target) {
        while (rows < target) {
            add(Math.min(BATCH, target - rows));
        }
    }

    /** Adds {@code count} rows with one append. */
    void add(int count) {
        List<Map<String, Object>> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            records.add(edit(rows++));
        }
        fleet.http().json("POST", fleet.logUrl() + "/v1/streams/table/records", Map.of("records", records));
    }

    private static Map<String, Object> edit(int number) {
        Map<String, Object> edit = new LinkedHashMap<>();
        edit.put("type", "edit");
        edit.put("id", "scale-" + number);
        edit.put("organisation", "scaled-" + number);
        edit.put("service", FleetPlan.MODEL);
        edit.put("against", -1);
        edit.put("values", Fleet.rowValues(1_000 + number, WEIGHT));
        edit.put("by", "scale");
        return edit;
    }
}
