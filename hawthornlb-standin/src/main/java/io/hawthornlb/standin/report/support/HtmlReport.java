package io.hawthornlb.standin.report.support;

import io.hawthornlb.standin.report.Count;
import io.hawthornlb.standin.report.FlowResult;
import io.hawthornlb.standin.report.JobResult;
import io.hawthornlb.standin.report.NamedPercentiles;
import io.hawthornlb.standin.report.Percentiles;
import io.hawthornlb.standin.report.ReportWriter;
import io.hawthornlb.standin.report.RunResult;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Writes the result as {@code report.html}, a self-contained file with embedded plots. */
public final class HtmlReport implements ReportWriter {

  /** The name of the report file. */
  public static final String FILE = "report.html";

  private static final List<String> TIME_COLUMNS =
      List.of("count", "mean", "p50", "p95", "p99", "p99.9", "max");

  @Override
  public void write(RunResult result, Path directory) {
    try {
      Files.writeString(directory.resolve(FILE), page(result));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write " + FILE, e);
    }
  }

  private static String page(RunResult result) {
    HtmlPage page = new HtmlPage(result.name());
    page.text(
        "Started "
            + result.startedAt()
            + ", seed "
            + result.seed()
            + ", "
            + number(result.seconds())
            + " s.");
    page.heading(result.ok() ? "All promises held" : "Promises broken");
    page.items(result.broken());
    for (Plots.Plot plot : Plots.of(result)) {
      page.image(plot.file(), Base64.getEncoder().encodeToString(plot.png()));
    }
    sections(page, result, "");
    if (result.withoutJobs() != null) {
      page.items(result.withoutJobs().broken());
      sections(page, result.withoutJobs(), " without jobs");
    }
    return page.html();
  }

  private static void sections(HtmlPage page, RunResult result, String suffix) {
    page.heading("Requests" + suffix);
    page.table(
        List.of(
            "flow",
            "class",
            "workspace",
            "sent",
            "answered",
            "resent",
            "refused",
            "said of run",
            "failed",
            "cut",
            "wrong",
            "unfinished"),
        result.flows().stream().map(HtmlReport::requests).toList());
    page.heading("Times in ms" + suffix);
    List<String> header = new ArrayList<>(List.of("of", "time"));
    header.addAll(TIME_COLUMNS);
    page.table(header, times(result));
    if (!result.jobs().isEmpty()) {
      page.heading("Jobs" + suffix);
      page.text(number(result.batchItemsPerSecond()) + " items a second over all jobs.");
      page.table(
          List.of(
              "flow",
              "id",
              "status",
              "items",
              "completed",
              "failed",
              "accepted ms",
              "done ms",
              "due ms",
              "items a second",
              "faults"),
          result.jobs().stream().map(HtmlReport::job).toList());
    }
    page.heading("Endpoints lost" + suffix);
    page.text(result.endpointsLost().size() + " " + String.join(", ", result.endpointsLost()));
    page.heading("Keyed calls" + suffix);
    page.text(
        result.calls().acknowledged()
            + " acknowledged, "
            + result.calls().lost().size()
            + " lost, "
            + result.calls().doubled().size()
            + " doubled, "
            + result.calls().untrue().size()
            + " ran though refused.");
  }

  private static List<String> requests(FlowResult flow) {
    return List.of(
        flow.label().name(),
        flow.label().requestClass(),
        flow.label().workspace(),
        Long.toString(flow.sent()),
        Long.toString(flow.answered()),
        counts(flow.resent()),
        counts(flow.refused()),
        counts(flow.refusedRun()),
        counts(flow.failed()),
        counts(flow.cut()),
        counts(flow.wrong()),
        Long.toString(flow.unfinished()));
  }

  private static List<List<String>> times(RunResult result) {
    List<List<String>> rows = new ArrayList<>();
    for (FlowResult flow : result.flows()) {
      rows.add(times(flow.label().name(), "first token", flow.firstToken()));
      rows.add(times(flow.label().name(), "token gap", flow.tokenGap()));
      rows.add(times(flow.label().name(), "total", flow.total()));
    }
    for (NamedPercentiles group : result.classes()) {
      rows.add(times("class " + group.name(), "total", group.total()));
    }
    for (NamedPercentiles group : result.workspaces()) {
      rows.add(times("workspace " + group.name(), "total", group.total()));
    }
    rows.removeIf(row -> row.get(2).equals("0"));
    return rows;
  }

  private static List<String> times(String name, String what, Percentiles times) {
    return List.of(
        name,
        what,
        Long.toString(times.count()),
        number(times.mean()),
        number(times.p50()),
        number(times.p95()),
        number(times.p99()),
        number(times.p999()),
        number(times.max()));
  }

  private static List<String> job(JobResult job) {
    return List.of(
        job.flow(),
        job.id(),
        job.status(),
        Integer.toString(job.items()),
        Integer.toString(job.completed()),
        Integer.toString(job.failed()),
        Long.toString(job.acceptedMillis()),
        Long.toString(job.doneMillis()),
        Long.toString(job.dueMillis()),
        number(job.itemsPerSecond()),
        String.join("; ", job.faults()));
  }

  private static String counts(List<Count> counts) {
    return counts.stream()
        .map(count -> count.count() + " " + count.name())
        .collect(Collectors.joining(", "));
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.2f", value);
  }
}
