package io.hawthornlb.core.workspace.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.DuplicateWorkspaceException;
import io.hawthornlb.core.workspace.SharedKeyException;
import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.core.workspace.WorkspaceRegistry;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class DefaultWorkspaceRegistryTest {

  private static final Workspace FIRST = workspace("first");
  private static final Workspace SECOND = workspace("second");

  @Test
  void findsTheHolderOfEachKey() {
    WorkspaceRegistry registry =
        DefaultWorkspaceRegistry.builder()
            .add(FIRST, List.of("key-a", "key-b", "key-b"))
            .add(SECOND, List.of())
            .build();
    assertEquals(Optional.of(FIRST), registry.findByKey("key-b"));
    assertEquals(Optional.empty(), registry.findByKey("key-c"));
    assertEquals(Optional.empty(), registry.findByKey(""));
    assertEquals(Optional.of(SECOND), registry.find(new WorkspaceId("second")));
  }

  /** Guards against a key whose holder depends on the order of the workspaces. */
  @Test
  void rejectsAKeyOfTwoWorkspacesWithoutShowingIt() {
    DefaultWorkspaceRegistry.Builder builder =
        DefaultWorkspaceRegistry.builder().add(FIRST, List.of("secret"));
    SharedKeyException rejected =
        assertThrows(SharedKeyException.class, () -> builder.add(SECOND, List.of("secret")));
    assertFalse(rejected.getMessage().contains("secret"), rejected.getMessage());
    assertTrue(rejected.getMessage().contains("first"), rejected.getMessage());
  }

  /** Guards against two limits for one workspace, of which one would be ignored. */
  @Test
  void rejectsAWorkspaceThatOccursTwice() {
    DefaultWorkspaceRegistry.Builder builder =
        DefaultWorkspaceRegistry.builder().add(FIRST, List.of("a"));
    assertThrows(DuplicateWorkspaceException.class, () -> builder.add(FIRST, List.of("b")));
  }

  private static Workspace workspace(String name) {
    return new Workspace(new WorkspaceId(name), null, null);
  }
}
