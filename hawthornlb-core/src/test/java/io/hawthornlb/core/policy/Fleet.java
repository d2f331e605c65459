package io.hawthornlb.core.policy;

import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.ServiceName;
import java.util.List;
import java.util.Map;

/**
 * Sizes of an example fleet.
 *
 * @param name name of the fleet in reports
 * @param dataCentres data centres, to which entry instances and endpoints are assigned in turn
 * @param engineService name of the service of the model engines
 * @param engines number of engines
 * @param plainService name of the plain service
 * @param plainEndpoints number of endpoints of the plain service
 * @param farMicros one-way latency between data centres, in microseconds
 * @param batchWeight weight of batch throughput in the catalogue
 */
record Fleet(
    String name,
    List<DataCentre> dataCentres,
    String engineService,
    int engines,
    String plainService,
    int plainEndpoints,
    long farMicros,
    double batchWeight) {

  static final int ENTRIES = 13;
  static final long NEAR_MICROS = 100;

  static final Fleet VATUWAQA =
      new Fleet(
          "Vatuwaqa",
          centres("lautoka-a", "nadi-b", "suva-c", "sigatoka-d"),
          "log-reader",
          6,
          "sheet-svc",
          4,
          500,
          0.8);

  static final Fleet AL_HARTHY =
      new Fleet(
          "Al Harthy",
          centres("ghala", "ruwi", "seeb", "qurum"),
          "brief-llm",
          13,
          "checkin-app",
          4,
          1_500,
          0.2);

  DataCentre centre(int index) {
    return dataCentres.get(index % dataCentres.size());
  }

  long latency(DataCentre from, DataCentre to) {
    return from.equals(to) ? NEAR_MICROS : farMicros;
  }

  Catalogue catalogue() {
    ServiceEntry engine =
        ServiceEntry.builder(new ServiceName(engineService), "owner", ServiceKind.ENGINE)
            .batchWeight(batchWeight)
            .build();
    ServiceEntry plain =
        ServiceEntry.builder(new ServiceName(plainService), "owner", ServiceKind.PLAIN).build();
    return new Catalogue(1, Map.of(engine.name(), engine, plain.name(), plain), Map.of());
  }

  private static List<DataCentre> centres(String... names) {
    return java.util.Arrays.stream(names).map(DataCentre::new).toList();
  }
}
