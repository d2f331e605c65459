package io.hawthornlb.core.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.batch.support.RendezvousElection;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.InstanceId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DispatcherElectionTest {

  @Test
  void anEntryThatLeavesMovesOnlyItsOwnEndpoints() {
    DispatcherElection election = new RendezvousElection();
    List<InstanceId> all = new ArrayList<>();
    for (int i = 0; i < 13; i++) {
      all.add(new InstanceId("entry-" + i));
    }
    InstanceId gone = all.get(5);
    List<InstanceId> remaining = all.stream().filter(entry -> !entry.equals(gone)).toList();
    int moved = 0;
    for (int i = 0; i < 120; i++) {
      EndpointId endpoint = new EndpointId("engine-" + i);
      InstanceId before = election.dispatcher(endpoint, all).orElseThrow();
      InstanceId after = election.dispatcher(endpoint, remaining).orElseThrow();
      moved += before.equals(after) ? 0 : 1;
      assertTrue(before.equals(after) || before.equals(gone));
    }
    assertTrue(moved > 0 && moved < 30, "moved " + moved);
    assertEquals(java.util.Optional.empty(), election.dispatcher(new EndpointId("e"), List.of()));
  }
}
