package io.hawthornlb.app;

import io.hawthornlb.app.command.CommandLine;
import io.hawthornlb.app.command.Launchers;
import io.hawthornlb.app.command.Output;
import io.hawthornlb.app.entry.EntryProcess;
import io.hawthornlb.app.logging.LogSetup;
import io.hawthornlb.app.settings.EntrySettings;
import io.hawthornlb.standin.StandinRunner;
import io.hawthornlb.standin.load.LoadTool;
import java.util.concurrent.CountDownLatch;

/** Entry point of the program. */
public final class HawthornlbApplication {

  private HawthornlbApplication() {}

  /** Runs the command that the arguments name and exits with its exit code. */
  public static void main(String[] arguments) {
    LogSetup.prepare();
    Launchers launchers =
        new Launchers(
            HawthornlbApplication::runEntry,
            StandinRunner::run,
            (scenario, out) -> LoadTool.run(scenario, out).ok());
    Output output = new Output(System.out, System.err);
    CommandLine commandLine = new CommandLine(launchers, System.getenv(), output);
    System.exit(commandLine.run(arguments).code());
  }

  private static void runEntry(EntrySettings settings) {
    EntryProcess process = EntryProcess.start(settings);
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  process.close();
                  stopped.countDown();
                },
                "entry-stop"));
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
