package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.Action;
import io.hawthornlb.standin.load.InvalidScenarioException;
import io.hawthornlb.standin.load.Scenario;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Restricts the load tool to addresses of this machine. */
public final class LoopbackAddresses {

  private static final Pattern LOOPBACK =
      Pattern.compile("(127(\\.\\d{1,3}){3}|localhost|\\[::1]):\\d{1,5}");

  private LoopbackAddresses() {}

  /**
   * Checks all addresses of a scenario.
   *
   * @throws InvalidScenarioException if an address is not a loopback address with a port
   */
  public static void check(Scenario scenario) {
    List<String> invalid =
        Stream.of(
                scenario.entries().stream(),
                scenario.services().stream(),
                scenario.endpoints().stream(),
                scenario.actions().stream().map(Action::address))
            .flatMap(addresses -> addresses)
            .filter(address -> !LOOPBACK.matcher(address).matches())
            .distinct()
            .toList();
    if (!invalid.isEmpty()) {
      throw new InvalidScenarioException("addresses must be loopback host:port, not " + invalid);
    }
  }
}
