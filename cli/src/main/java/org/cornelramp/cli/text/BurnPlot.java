package org.cornelramp.cli.text;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.burn.BurnReport;
import org.cornelramp.core.burn.BurnRow;
import org.cornelramp.core.burn.BurnWindow;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Plots service-level burn rates as a bar chart. Stateless, safe for use by any thread. */
public final class BurnPlot {
    private static final int WIDTH = 1_200;
    private static final int HEIGHT = 600;
    private static final int LABEL_DEGREES = 45;
    private static final int MAX_ROWS = 20;

    private BurnPlot() {}

    /** Plots the most urgent rows, at most 20, into a PNG file. */
    public static void write(BurnReport report, String file) throws CliException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Service-level burn rate (at 1 the allowance lasts exactly for its period)")
                .xAxisTitle("organisation/service")
                .yAxisTitle("burn rate")
                .build();
        chart.getStyler().setXAxisLabelRotation(LABEL_DEGREES);
        chart.getStyler().setYAxisMin(0.0);
        List<BurnRow> rows =
                report.rows().subList(0, Math.min(MAX_ROWS, report.rows().size()));
        List<String> names = new ArrayList<>();
        rows.forEach(row -> names.add(row.organisation() + "/" + row.service()));
        if (rows.isEmpty()) {
            names.add("no requests");
        }
        for (BurnWindow window : BurnWindow.values()) {
            List<Double> rates = new ArrayList<>();
            rows.forEach(row -> rates.add(row.rate(window)));
            if (rows.isEmpty()) {
                rates.add(0.0);
            }
            chart.addSeries(window.text(), names, rates);
        }
        try {
            BitmapEncoder.saveBitmap(chart, file, BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "the plot cannot be written, choose another path: " + file);
        }
    }
}
