package org.cornelramp.core.burn;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;

/** The time windows over which burn rates are computed. */
public enum BurnWindow {
    @JsonProperty("5m")
    FIVE_MINUTES("5m", Duration.ofMinutes(5)),
    @JsonProperty("1h")
    HOUR("1h", Duration.ofHours(1)),
    @JsonProperty("6h")
    SIX_HOURS("6h", Duration.ofHours(6)),
    @JsonProperty("3d")
    THREE_DAYS("3d", Duration.ofDays(3));

    private final String text;
    private final Duration length;

    BurnWindow(String text, Duration length) {
        this.text = text;
        this.length = length;
    }

    /** The text form used in reports. */
    public String text() {
        return text;
    }

    /** Length of the window. */
    public Duration length() {
        return length;
    }
}
