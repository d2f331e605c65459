package io.hawthornlb.core.admission;

import io.hawthornlb.core.admission.support.DemandShareExchange;
import io.hawthornlb.core.admission.support.FairAdmissionController;
import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;
import java.util.List;
import java.util.Map;

/** Creates requests and controllers for the tests of admission control. */
final class AdmissionFixture {

  static final ServiceName REPORTS = new ServiceName("log-reader");
  static final ServiceName SHEETS = new ServiceName("sheet-svc");
  static final Instant START = Instant.EPOCH;
  private static final InstanceId SELF = new InstanceId("entry-0");
  private static final DataCentre CENTRE = new DataCentre("nadi-b");

  private AdmissionFixture() {}

  static AdmissionRequest request(
      String id, ServiceName service, String workspace, RequestClass requestClass, int seconds) {
    return new AdmissionRequest(
        new RequestId(id),
        service,
        new WorkspaceId(workspace),
        requestClass,
        START.plusSeconds(seconds));
  }

  static FairAdmissionController singleEntry(int slots) {
    DemandShareExchange shares = new DemandShareExchange(SELF, CENTRE);
    shares.onEntries(Map.of(SELF, CENTRE), START);
    FairAdmissionController controller =
        new FairAdmissionController(shares, AdmissionSettings.DEFAULT);
    controller.onCapacity(REPORTS, slots, START);
    controller.onCapacity(SHEETS, slots, START);
    return controller;
  }

  static Catalogue workspace(String id, Limits limits) {
    WorkspaceId workspace = new WorkspaceId(id);
    WorkspaceEntry entry = new WorkspaceEntry(workspace, "owner", List.of(), limits, 1);
    return new Catalogue(1, Map.of(), Map.of(workspace, entry));
  }

  static List<String> started(List<Effect> effects) {
    return effects.stream()
        .filter(StartRequest.class::isInstance)
        .map(effect -> ((StartRequest) effect).id().value())
        .toList();
  }
}
