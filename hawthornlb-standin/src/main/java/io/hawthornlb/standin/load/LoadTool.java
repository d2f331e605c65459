package io.hawthornlb.standin.load;

import io.hawthornlb.standin.load.support.LoadRun;
import io.hawthornlb.standin.load.support.LoopbackAddresses;
import io.hawthornlb.standin.report.ReportWriter;
import io.hawthornlb.standin.report.RunResult;
import io.hawthornlb.standin.report.support.HtmlReport;
import io.hawthornlb.standin.report.support.JsonReport;
import io.hawthornlb.standin.report.support.PlotReport;
import io.hawthornlb.standin.support.SettingsReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Sends a mixed load to entry instances, checks every answer and reports failed checks. */
public final class LoadTool {

  private static final List<ReportWriter> WRITERS =
      List.of(new JsonReport(), new PlotReport(), new HtmlReport());

  private LoadTool() {}

  /**
   * Runs a scenario and writes its report. Progress goes to standard error.
   *
   * @param scenario the YAML file
   * @param outDir the directory of the report, which is created if missing
   * @return the measurements; {@link RunResult#ok} returns whether all checks passed
   * @throws io.hawthornlb.standin.support.InvalidSettingsException if the file isn't valid
   * @throws InvalidScenarioException if the scenario contains an address that isn't a loopback
   *     address, or too many requests or items
   */
  public static RunResult run(Path scenario, Path outDir) {
    return run(SettingsReader.read(scenario, Scenario.class), outDir, System.err);
  }

  /**
   * Runs a scenario and writes its report.
   *
   * @param progress receives one progress line per second
   * @throws InvalidScenarioException if the scenario contains an address that isn't a loopback
   *     address, or too many requests or items
   */
  public static RunResult run(Scenario scenario, Path outDir, PrintStream progress) {
    RunResult result = measure(scenario, progress);
    createDirectory(outDir);
    WRITERS.forEach(writer -> writer.write(result, outDir));
    result.broken().forEach(check -> progress.println("load: check failed: " + check));
    progress.println("load: " + (result.ok() ? "ok" : "checks failed") + ", see " + outDir);
    return result;
  }

  /**
   * Runs a scenario and writes no report.
   *
   * @param progress receives one progress line per second
   * @throws InvalidScenarioException if the scenario contains an address that isn't a loopback
   *     address, or too many requests or items
   */
  public static RunResult measure(Scenario scenario, PrintStream progress) {
    LoopbackAddresses.check(scenario);
    checkItems(scenario);
    if (!scenario.compareWithoutJobs()) {
      return new LoadRun(scenario, progress).run();
    }
    progress.println("load: running the online load without jobs");
    RunResult baseline = new LoadRun(scenario.withoutJobs(), progress).run();
    progress.println("load: running the online load with jobs");
    return new LoadRun(scenario, progress).run().withBaseline(baseline);
  }

  private static void checkItems(Scenario scenario) {
    long items = scenario.jobs().stream().mapToLong(job -> (long) job.jobs() * job.items()).sum();
    if (items > scenario.maxRequests()) {
      throw new InvalidScenarioException(
          items + " items exceed maxRequests " + scenario.maxRequests());
    }
  }

  private static void createDirectory(Path directory) {
    try {
      Files.createDirectories(directory);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot create directory " + directory, e);
    }
  }
}
