package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hawthornlb.standin.bound.BoundDay;
import io.hawthornlb.standin.bound.DemandBound;
import io.hawthornlb.standin.bound.WorthBound;
import io.hawthornlb.standin.bound.support.FlowWorthBound;
import io.hawthornlb.standin.support.InvalidSettingsException;
import io.hawthornlb.standin.support.SettingsReader;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Prints an upper bound of the worth that any scheduling policy can achieve on a day.
 *
 * <p>The output has the bound of each demand and the bound of all demands as a share of the total.
 */
@Parameters(
    commandNames = "bound",
    commandDescription = "Tell the worth that no policy can exceed on a day")
final class BoundCommand extends AbstractCommand {

  private final WorthBound bound = new FlowWorthBound();

  @Parameter(names = "--day", required = true, description = "YAML file with the day")
  private @Nullable Path day;

  @Override
  public void run(Output output) {
    List<DemandBound> demands;
    try {
      demands = bound.of(SettingsReader.read(Objects.requireNonNull(day), BoundDay.class));
    } catch (InvalidSettingsException e) {
      throw CommandFailedException.usageError(e.getMessage());
    }
    if (wantsJson()) {
      output.json(json(demands));
    } else {
      demands.forEach(demand -> output.line(line(demand)));
      output.line(String.format(Locale.ROOT, "all: at most %.3f of what is owed", share(demands)));
    }
  }

  private static String line(DemandBound demand) {
    return String.format(
        Locale.ROOT,
        "%s: owed %.1f, at most %.1f; without the store %.1f, without slots %.1f",
        demand.name(),
        demand.owed(),
        demand.most(),
        demand.withoutStore(),
        demand.withoutSlots());
  }

  private static ObjectNode json(List<DemandBound> demands) {
    ObjectNode document = Output.object();
    ArrayNode rows = document.putArray("demands");
    for (DemandBound demand : demands) {
      rows.addObject()
          .put("name", demand.name())
          .put("owed", demand.owed())
          .put("most", demand.most())
          .put("withoutStore", demand.withoutStore())
          .put("withoutSlots", demand.withoutSlots());
    }
    return document.put("share", share(demands));
  }

  private static double share(List<DemandBound> demands) {
    double owed = demands.stream().mapToDouble(DemandBound::owed).sum();
    double most = demands.stream().mapToDouble(DemandBound::most).sum();
    return owed == 0 ? 1 : most / owed;
  }
}
