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

/** Sends a mixed load to entries, checks every answer and says whether the promises held. */
public final class LoadTool {

  private static final List<ReportWriter> WRITERS =
      List.of(new JsonReport(), new PlotReport(), new HtmlReport());

  private LoadTool() {}

  /**
   * Runs a scenario and writes its report, with progress on standard error.
   *
   * @param scenario the YAML file
   * @param outDir where the report goes; made when missing
   * @return what was measured; {@link RunResult#ok} says whether all promises held
   * @throws io.hawthornlb.standin.support.InvalidSettingsException if the file holds a fault
   * @throws InvalidScenarioException if it asks for other than loopback addresses or too much
   */
  public static RunResult run(Path scenario, Path outDir) {
    return run(SettingsReader.read(scenario, Scenario.class), outDir, System.err);
  }

  /**
   * Runs a scenario and writes its report.
   *
   * @param progress gets a line a second
   * @throws InvalidScenarioException if it asks for other than loopback addresses or too much
   */
  public static RunResult run(Scenario scenario, Path outDir, PrintStream progress) {
    RunResult result = measure(scenario, progress);
    createDirectory(outDir);
    WRITERS.forEach(writer -> writer.write(result, outDir));
    result.broken().forEach(promise -> progress.println("load: broken: " + promise));
    progress.println("load: " + (result.ok() ? "ok" : "promises broken") + ", see " + outDir);
    return result;
  }

  /**
   * Runs a scenario without a report.
   *
   * @param progress gets a line a second
   * @throws InvalidScenarioException if it asks for other than loopback addresses or too much
   */
  public static RunResult measure(Scenario scenario, PrintStream progress) {
    LoopbackAddresses.check(scenario);
    checkItems(scenario);
    if (!scenario.compareWithoutJobs()) {
      return new LoadRun(scenario, progress).run();
    }
    progress.println("load: online load without jobs");
    RunResult alone = new LoadRun(scenario.withoutJobs(), progress).run();
    progress.println("load: the same with jobs");
    return new LoadRun(scenario, progress).run().withBaseline(alone);
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
      throw new UncheckedIOException("cannot make " + directory, e);
    }
  }
}
