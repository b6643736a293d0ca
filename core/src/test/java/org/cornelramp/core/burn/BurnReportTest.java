package org.cornelramp.core.burn;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.testng.annotations.Test;

/** The report adds up the counts of the entries and lists the most urgent row first. */
public class BurnReportTest {

    private static BurnRow row(String organisation, BurnCounts fast, BurnCounts slow) {
        return new BurnRow(
                new OrganisationId(organisation),
                new ServiceName("s"),
                99,
                Map.of(
                        BurnWindow.FIVE_MINUTES,
                        fast,
                        BurnWindow.HOUR,
                        fast,
                        BurnWindow.SIX_HOURS,
                        slow,
                        BurnWindow.THREE_DAYS,
                        slow));
    }

    @Test
    public void addsUpTheEntries() {
        BurnCounts bad = new BurnCounts(100, 15);
        BurnRow healthy = row("a", new BurnCounts(100, 0), new BurnCounts(100, 0));
        BurnReport report =
                BurnReport.merge(List.of(List.of(healthy, row("b", bad, bad)), List.of(row("b", bad, bad))));
        assertEquals(report.rows().get(0).organisation().value(), "b");
        assertEquals(report.rows().get(0).counts(BurnWindow.HOUR), new BurnCounts(200, 30));
        assertEquals(report.rows().get(0).alert(), BurnAlert.PAGE_FAST);
        assertEquals(report.rows().get(1).alert(), BurnAlert.NONE);
    }

    @Test
    public void aBurstThatHasEndedRaisesNoAlert() {
        BurnCounts none = new BurnCounts(1_000, 0);
        BurnRow row = new BurnRow(
                new OrganisationId("a"),
                new ServiceName("s"),
                99,
                Map.of(BurnWindow.FIVE_MINUTES, none, BurnWindow.HOUR, new BurnCounts(1_000, 150)));
        assertEquals(row.alert(), BurnAlert.NONE);
    }

    @Test
    public void noRequestsRaiseNoAlert() {
        assertEquals(row("a", BurnCounts.NONE, BurnCounts.NONE).alert(), BurnAlert.NONE);
    }
}
