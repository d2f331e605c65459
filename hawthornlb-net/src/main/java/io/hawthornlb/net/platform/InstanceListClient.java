package io.hawthornlb.net.platform;

import io.hawthornlb.core.membership.ListedProcess;
import java.util.concurrent.CompletionStage;

/**
 * Client of the platform's list of live and leaving processes.
 *
 * <p>Each stage fails with {@link PlatformUnavailableException} if there is no usable response
 * within the timeout.
 */
public interface InstanceListClient {

  /** Returns the platform's current list. */
  CompletionStage<InstanceList> list();

  /** Announces a process or its new state. */
  CompletionStage<Void> announce(ListedProcess process);

  /** Withdraws the announcement of a process. Succeeds also if there is no announcement. */
  CompletionStage<Void> withdraw(String id);
}
