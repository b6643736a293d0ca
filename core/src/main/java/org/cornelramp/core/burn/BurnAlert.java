package org.cornelramp.core.burn;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Map;

/**
 * How urgent a row's burn is. Each needs a long window, so that a short burst calls nobody, and a short one, so that
 * it ends soon after the cause has ended.
 */
public enum BurnAlert {
    /** A month's allowance would be gone within about two days: wake somebody. */
    @JsonProperty("page-fast")
    PAGE_FAST("page-fast", 14.4, BurnWindow.HOUR, BurnWindow.FIVE_MINUTES),
    /** A month's allowance would be gone within about five days: wake somebody. */
    @JsonProperty("page-slow")
    PAGE_SLOW("page-slow", 6, BurnWindow.SIX_HOURS, BurnWindow.HOUR),
    /** The month's allowance will not last: look at it in working hours. */
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

    /** The form that reports carry. */
    public String text() {
        return text;
    }

    /** The most urgent alert that the burn rates of all windows call for. */
    public static BurnAlert of(Map<BurnWindow, Double> rates) {
        for (BurnAlert alert : values()) {
            if (rates.get(alert.longWindow) >= alert.rate && rates.get(alert.shortWindow) >= alert.rate) {
                return alert;
            }
        }
        return NONE;
    }
}
