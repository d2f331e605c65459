package io.hawthornlb.standin;

import io.hawthornlb.standin.engine.EngineMemory;
import io.hawthornlb.standin.engine.EngineReports;
import io.hawthornlb.standin.engine.EngineSettings;
import io.hawthornlb.standin.engine.EngineTiming;
import io.hawthornlb.standin.service.ServiceSettings;
import io.hawthornlb.standin.support.StandinIdentity;

/** Settings for fast tests. */
public final class TestSettings {

  private TestSettings() {}

  public static StandinIdentity.Builder identity(String id) {
    return StandinIdentity.builder().id(id).service("brief-llm").dataCentre("ruwi");
  }

  public static EngineSettings.Builder engine(String id) {
    return EngineSettings.builder()
        .identity(identity(id).build())
        .timing(fastTiming())
        .memory(EngineMemory.builder().build())
        .reports(EngineReports.builder().loadLagMillis(0).cacheEventLagMillis(0).build());
  }

  public static ServiceSettings service(String id) {
    return ServiceSettings.builder()
        .identity(identity(id).service("checkin-app").build())
        .serviceMillis(1)
        .build();
  }

  public static EngineTiming fastTiming() {
    return EngineTiming.builder()
        .stepMicros(500)
        .sequenceMicros(10)
        .kiloContextMicros(1)
        .prefillTokenMicros(1)
        .build();
  }
}
