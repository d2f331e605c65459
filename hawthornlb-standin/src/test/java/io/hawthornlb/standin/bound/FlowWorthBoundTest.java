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

  private static final double CLOSE = 0.01;

  private final FlowWorthBound bound = new FlowWorthBound();

  @Test
  void allIsServedWhileSlotsSuffice() {
    DemandBound only = bound.of(day(List.of(), requests(10, 400, 1_000))).get(0);
    assertEquals(100, only.owed(), CLOSE);
    assertEquals(100, only.most(), CLOSE);
  }

  @Test
  void noMoreIsServedThanSlotsAllow() {
    // 40 requests a second of 200 ms want 8 slots of the 4 there are.
    DemandBound only = bound.of(day(List.of(), requests(40, 200, 200))).get(0);
    assertEquals(400, only.owed(), CLOSE);
    assertEquals(200, only.most(), 8);
    assertEquals(0, only.withoutStore(), CLOSE);
  }

  @Test
  void workThatMayWaitIsDoneAroundALoss() {
    Loss all = Loss.builder().fromMillis(2_000).toMillis(4_000).slots(4).build();
    DemandBound patient = bound.of(day(List.of(all), requests(5, 400, 4_000))).get(0);
    DemandBound urgent = bound.of(day(List.of(all), requests(5, 400, 400))).get(0);
    assertEquals(patient.owed(), patient.most(), CLOSE);
    assertTrue(urgent.most() < 0.9 * urgent.owed(), urgent.toString());
  }

  @Test
  void whatTheStoreCannotTakeInTimeIsLostToAll() {
    Loss store = Loss.builder().fromMillis(2_000).toMillis(4_000).store(true).build();
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
    // Of the 2 s the last 0.4 s can be bridged.
    assertEquals(16, only.withoutStore(), 2);
    assertEquals(0, only.withoutSlots(), CLOSE);
  }

  @Test
  void theDearerDemandComesFirstAndTheOtherMovesAside() {
    Demand cheap = requests(5, 800, 10_000);
    Demand dear =
        Demand.builder()
            .name("dear")
            .phases(phases(10))
            .workMillis(200)
            .withinMillis(200)
            .worth(5)
            .build();
    List<DemandBound> bounds = bound.of(day(List.of(), cheap, dear));
    assertEquals(bounds.get(1).owed(), bounds.get(1).most(), CLOSE);
    assertEquals(25, bounds.get(0).most(), 1);
  }

  @Test
  void readsADayAndRefusesFaultsWithTheirPlace(@TempDir Path folder) throws IOException {
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
    assertEquals(100, bound.of(SettingsReader.read(file, BoundDay.class)).get(0).owed(), CLOSE);
    Files.writeString(file, "lengthMillis: 10000\nslots: 0\n");
    assertThrows(InvalidSettingsException.class, () -> SettingsReader.read(file, BoundDay.class));
  }

  private static BoundDay day(List<Loss> losses, Demand... demands) {
    return BoundDay.builder()
        .lengthMillis(10_000)
        .slots(4)
        .losses(losses)
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
