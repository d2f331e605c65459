package io.hawthornlb.core.routing;

import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.endpoint.EndpointTableSettings;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.endpoint.support.ObservedEndpointTable;
import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.routing.support.CostRouter;
import io.hawthornlb.core.routing.support.DefaultInFlightTracker;
import io.hawthornlb.core.routing.support.EndpointCost;
import io.hawthornlb.core.routing.support.HintPrefixIndex;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** A router of one entry instance with its tables and a number of engines. */
final class RouterFixture {

  static final Instant NOW = Instant.EPOCH.plusSeconds(100);
  static final ServiceName SERVICE = new ServiceName("brief-llm");
  private static final int CENTRES = 5;

  final EndpointTable table = new ObservedEndpointTable(EndpointTableSettings.DEFAULT);
  final InFlightTracker inFlight;
  final PrefixIndex prefixes = new HintPrefixIndex(20_000);
  final Router router;

  RouterFixture(int engines, RouterSettings settings) {
    this(0, engines, settings);
  }

  RouterFixture(int entry, int engines, RouterSettings settings) {
    this.inFlight = new DefaultInFlightTracker(new InstanceId("entry-" + entry));
    EndpointCost cost = new EndpointCost(inFlight, prefixes, settings);
    this.router = new CostRouter(table, prefixes, cost, settings, new Random(entry));
    List<ListedProcess> listed = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      listed.add(
          new ListedProcess(
              "engine-" + i,
              ListedKind.ENDPOINT,
              Optional.of(SERVICE),
              centre(i),
              "127.0.0.1:1",
              ListedState.LIVE));
    }
    table.onList(listed, NOW.minusSeconds(60), NOW.minusSeconds(60));
    for (int i = 0; i < engines; i++) {
      table.onLoad(id(i), report(i % 4, 2), NOW);
    }
  }

  RouteRequest request(int number, List<String> prefix, Set<EndpointId> excluded) {
    return new RouteRequest(
        new RequestId("r-" + number),
        SERVICE,
        new WorkspaceId("w-" + number % 50),
        RequestClass.INTERACTIVE,
        centre(number),
        prefix,
        excluded,
        800,
        NOW.plusSeconds(30));
  }

  static LoadReport report(int running, int ageSeconds) {
    return new LoadReport(NOW.minusSeconds(ageSeconds), running, 0, 16, 0, 0, 0, 0);
  }

  static DataCentre centre(int index) {
    return new DataCentre("dc-" + index % CENTRES);
  }

  static EndpointId id(int index) {
    return new EndpointId("engine-" + index);
  }
}
