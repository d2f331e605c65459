package io.hawthornlb.core.endpoint.support;

import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.EndpointState;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** An endpoint whose state is exactly what the list of processes says. */
final class ListedEndpoint implements Endpoint {

  private final EndpointId id;
  private final ListedProcess listed;
  private final ServiceName service;
  private @Nullable LoadReport load;

  ListedEndpoint(ListedProcess listed, ServiceName service) {
    this.id = new EndpointId(listed.id());
    this.listed = listed;
    this.service = service;
  }

  void updateLoad(LoadReport report) {
    this.load = report;
  }

  @Override
  public EndpointId id() {
    return id;
  }

  @Override
  public ServiceName service() {
    return service;
  }

  @Override
  public DataCentre dataCentre() {
    return listed.dataCentre();
  }

  @Override
  public String address() {
    return listed.address();
  }

  @Override
  public EndpointState state(Instant now) {
    return listed.state() == ListedState.LIVE ? EndpointState.LIVE : EndpointState.LEAVING;
  }

  @Override
  public Optional<LoadReport> load() {
    return Optional.ofNullable(load);
  }

  @Override
  public double startWeight(Instant now) {
    return 1;
  }

  @Override
  public double recentFailures(Instant now) {
    return 0;
  }

  @Override
  public boolean quarantined(Instant now) {
    return false;
  }
}
