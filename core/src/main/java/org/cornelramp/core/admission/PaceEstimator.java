package org.cornelramp.core.admission;

import org.cornelramp.core.path.PathFinder;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.EngineSpec;

/**
 * Predicts the time to the first event and the pauses of a stream on a path. The figures of {@link PathFinder} are
 * scaled by how the service's streams recently did against them. Owned by one thread.
 *
 * <p>Observations are compared with uncalibrated predictions ({@link #uncalibratedFirstEventMillis}); compared with
 * calibrated ones, the factors would return to 1 while the error remains.
 */
public final class PaceEstimator {
    private final double tokensPerEvent;
    private final CalibrationFactor firstEvent = new CalibrationFactor();
    private final CalibrationFactor pause = new CalibrationFactor();

    /**
     * @param tokensPerEvent tokens in one event of the service's streams, at least 1
     */
    public PaceEstimator(double tokensPerEvent) {
        if (!(tokensPerEvent >= 1)) {
            throw new IllegalArgumentException("An event holds at least one token; tokensPerEvent=" + tokensPerEvent);
        }
        this.tokensPerEvent = tokensPerEvent;
    }

    /** Records the time from sending a request to its first event, with the uncalibrated prediction for its path. */
    public void recordFirstEvent(double predictedMillis, double observedMillis, long nowMillis) {
        firstEvent.record(predictedMillis, observedMillis, nowMillis);
    }

    /** Records the pause between two events of a stream, with the uncalibrated prediction for its path. */
    public void recordPause(double predictedMillis, double observedMillis, long nowMillis) {
        pause.record(predictedMillis, observedMillis, nowMillis);
    }

    /** Predicted time from sending a request to its first event. */
    public double firstEventMillis(StagePath path, long nowMillis) {
        return uncalibratedFirstEventMillis(path) * firstEvent.value(nowMillis);
    }

    /** Predicted pause between two events of a stream. */
    public double pauseMillis(StagePath path, long nowMillis) {
        return uncalibratedPauseMillis(path) * pause.value(nowMillis);
    }

    /** Time that each further running request on the engines of a path adds to the pauses there. */
    public double pausePerRequestMillis(StagePath path, EngineSpec spec, long nowMillis) {
        return tokensPerEvent * PathFinder.tokenMillisPerRequest(path, spec) * pause.value(nowMillis);
    }

    /** Time to the first event by the figures of the path alone. */
    public double uncalibratedFirstEventMillis(StagePath path) {
        return path.readMillis() + tokensPerEvent * path.tokenMillis();
    }

    /** Pause between two events by the figures of the path alone. */
    public double uncalibratedPauseMillis(StagePath path) {
        return tokensPerEvent * path.tokenMillis();
    }
}
