package org.cornelramp.core.burn;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;

/**
 * Alert level for the burn rate of a row's error budget.
 *
 * <p>Each level needs a long window, so that a short burst raises no alert, and a short one, so that the alert clears
 * soon after its cause has ended.
 */
public enum BurnAlert {
    /** A month's error budget would be used up within about two days: page an operator. */
    @JsonProperty("page-fast")
    PAGE_FAST("page-fast", 14.4, BurnWindow.HOUR, BurnWindow.FIVE_MINUTES),
    /** A month's error budget would be used up within about five days: page an operator. */
    @JsonProperty("page-slow")
    PAGE_SLOW("page-slow", 6, BurnWindow.SIX_HOURS, BurnWindow.HOUR),
    /** The error budget will not last the month: look at it in working hours. */
    @JsonProperty("ticket")
    TICKET("ticket", 1, BurnWindow.THREE_DAYS, BurnWindow.SIX_HOURS),
    /** Within the objective. */
    @JsonProperty("none")
    NONE("none", 0, BurnWindow.THREE_DAYS, BurnWindow.THREE_DAYS);

    private final String text;
    private final double rate;
    private final BurnWindow longWindow;
    private final BurnWindow shortWindow;

    BurnAlert(String text, double rate, BurnWindow longWindow, BurnWindow shortWindow) {
        this.text = text;
        this.rate = rate;
        this.longWindow = longWindow;
        this.shortWindow = shortWindow;
    }

    /** The text form used in reports. */
    public String text() {
        return text;
    }

    /** The most urgent alert whose threshold is reached in both of its windows; needs a rate for every window. */
    public static BurnAlert of(Map<BurnWindow, Double> rates) {
        for (BurnAlert alert : values()) {
            if (rates.get(alert.longWindow) >= alert.rate && rates.get(alert.shortWindow) >= alert.rate) {
                return alert;
            }
        }
        return NONE;
    }
}
