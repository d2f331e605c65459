package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.slot.SlotAnswer;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class SchedulingTrialTest {

  /** Guards against a class archive that lacks decisions because the trial does not reach them. */
  @Test
  void reachesEachKindOfAnswer() {
    Set<Class<?>> kinds =
        SchedulingTrial.run().stream().map(Object::getClass).collect(Collectors.toSet());
    assertEquals(
        Set.of(
            SlotAnswer.Granted.class,
            SlotAnswer.Revoked.class,
            SlotAnswer.Waiting.class,
            SlotAnswer.Refused.class),
        kinds);
  }
}
