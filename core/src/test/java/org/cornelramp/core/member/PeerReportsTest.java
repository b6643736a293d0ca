package org.cornelramp.core.member;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Ages of the reports that count. */
public class PeerReportsTest {
    /** Guards against the age of a report that has been replaced, removed or dropped. */
    @Test
    public void oldestAgeIsThatOfAReportThatCounts() {
        PeerReports<String> reports = new PeerReports<>();
        assertEquals(reports.oldestAgeMillis(5), 0);
        reports.put("g1", "first", 100, 10);
        reports.put("g2", "second", 500, 20);
        reports.put("g3", "third", 500, 30);
        reports.put("g1", "fourth", 500, 40);
        assertEquals(reports.oldestAgeMillis(50), 30, "the replaced report of g1 does not count");
        reports.remove("g2");
        assertEquals(reports.oldestAgeMillis(50), 20);
        reports.put("g2", "fifth", 10, 55);
        assertEquals(reports.removeSilent(0, 100).size(), 1);
        assertEquals(reports.oldestAgeMillis(100), 70);
        assertEquals(reports.removeSilent(0, 1_000).size(), 2);
        assertEquals(reports.oldestAgeMillis(1_000), 0);
    }
}
