package io.hawthornlb.standin.bound;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.bound.support.FlowWorthBound;
import io.hawthornlb.standin.load.Phase;
import io.hawthornlb.standin.support.InvalidSettingsException;
import io.hawthornlb.standin.support.SettingsReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FlowWorthBoundTest {

  private static final double TOLERANCE = 0.01;

  private final FlowWorthBound bound = new FlowWorthBound();

  @Test
  void servesAllRequestsWhenSlotsSuffice() {
    DemandBound only = bound.of(day(List.of(), requests(10, 400, 1_000))).get(0);
    assertEquals(100, only.owed(), TOLERANCE);
    assertEquals(100, only.most(), TOLERANCE);
  }

  @Test
  void servesNoMoreThanSlotsAllow() {
    // 40 requests per second of 200 ms each need 8 slots, but the day has only 4.
    DemandBound only = bound.of(day(List.of(), requests(40, 200, 200))).get(0);
    assertEquals(400, only.owed(), TOLERANCE);
    assertEquals(200, only.most(), 8);
    assertEquals(0, only.withoutStore(), TOLERANCE);
  }

  @Test
  void schedulesDeferrableWorkAroundAnOutage() {
    Outage allSlots = Outage.builder().fromMillis(2_000).toMillis(4_000).slots(4).build();
    DemandBound deferrable = bound.of(day(List.of(allSlots), requests(5, 400, 4_000))).get(0);
    DemandBound urgent = bound.of(day(List.of(allSlots), requests(5, 400, 400))).get(0);
    assertEquals(deferrable.owed(), deferrable.most(), TOLERANCE);
    assertTrue(urgent.most() < 0.9 * urgent.owed(), urgent.toString());
  }

  @Test
  void excludesRequestsThatTheStoreCannotAcceptInTime() {
    Outage store = Outage.builder().fromMillis(2_000).toMillis(4_000).store(true).build();
    Demand jobs =
        Demand.builder()
            .name("jobs")
            .phases(phases(10))
            .workMillis(100)
            .withinMillis(5_000)
            .worth(1)
            .storedWithinMillis(400)
            .build();
    DemandBound only = bound.of(day(List.of(store), jobs)).get(0);
    // Requests of the last 0.4 s of the 2 s outage are stored in time, after the store recovers.
    assertEquals(16, only.withoutStore(), 2);
    assertEquals(0, only.withoutSlots(), TOLERANCE);
  }

  @Test
  void servesTheDemandOfHigherWorthFirstAndShiftsTheOther() {
    Demand cheap = requests(5, 800, 10_000);
    Demand valuable =
        Demand.builder()
            .name("valuable")
            .phases(phases(10))
            .workMillis(200)
            .withinMillis(200)
            .worth(5)
            .build();
    List<DemandBound> bounds = bound.of(day(List.of(), cheap, valuable));
    assertEquals(bounds.get(1).owed(), bounds.get(1).most(), TOLERANCE);
    assertEquals(25, bounds.get(0).most(), 1);
  }

  @Test
  void readsADayAndRejectsInvalidSettings(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("day.yaml");
    Files.writeString(
        file,
        """
        lengthMillis: 10000
        slots: 4
        demands:
          - name: a
            workMillis: 400
            withinMillis: 1000
            worth: 1
            phases: [{toMillis: 10000, perSecond: 10}]
        """);
    assertEquals(100, bound.of(SettingsReader.read(file, BoundDay.class)).get(0).owed(), TOLERANCE);
    Files.writeString(file, "lengthMillis: 10000\nslots: 0\n");
    assertThrows(InvalidSettingsException.class, () -> SettingsReader.read(file, BoundDay.class));
  }

  private static BoundDay day(List<Outage> outages, Demand... demands) {
    return BoundDay.builder()
        .lengthMillis(10_000)
        .slots(4)
        .losses(outages)
        .demands(List.of(demands))
        .build();
  }

  private static Demand requests(double perSecond, long workMillis, long withinMillis) {
    return Demand.builder()
        .name("requests")
        .phases(phases(perSecond))
        .workMillis(workMillis)
        .withinMillis(withinMillis)
        .worth(1)
        .build();
  }

  private static List<Phase> phases(double perSecond) {
    return List.of(Phase.builder().toMillis(10_000).perSecond(perSecond).build());
  }
}
