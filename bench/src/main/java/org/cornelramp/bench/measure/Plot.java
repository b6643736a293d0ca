package org.cornelramp.bench.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** A plot of lines, written as PNG. Confined to one thread. */
public final class Plot {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 600;

    private final XYChart chart;

    public Plot(String title, String xAxis, String yAxis) {
        System.setProperty("java.awt.headless", "true");
        this.chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle(xAxis)
                .yAxisTitle(yAxis)
                .build();
    }

    /** Adds a line; an empty one is left out. */
    public void line(String name, double[] x, double[] y) {
        if (x.length > 0) {
            chart.addSeries(name, x, y);
        }
    }

    /** Writes the plot. */
    public void write(Path file) {
        try {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
