package org.cornelramp.bench.measure;

/**
 * A straight line fitted to points by least squares. Immutable, safe for use by any thread.
 *
 * @param slope rise for each unit
 * @param intercept value at 0
 */
public record Line(double slope, double intercept) {

    /** Fits a line; a horizontal one through the mean if all points have the same {@code x}. */
    public static Line fit(double[] x, double[] y) {
        double meanX = mean(x);
        double meanY = mean(y);
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < x.length; i++) {
            covariance += (x[i] - meanX) * (y[i] - meanY);
            variance += (x[i] - meanX) * (x[i] - meanX);
        }
        double slope = variance == 0 ? 0 : covariance / variance;
        return new Line(slope, meanY - slope * meanX);
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return values.length == 0 ? 0 : sum / values.length;
    }
}
