package io.hawthornlb.net.platform;

import io.hawthornlb.core.membership.ListedProcess;
import java.util.concurrent.CompletionStage;

/**
 * The platform's list of live and leaving processes.
 *
 * <p>Every stage fails with {@link PlatformUnavailableException} when no answer came in time.
 */
public interface InstanceListClient {

  /** Returns the list as the platform knows it. */
  CompletionStage<InstanceList> list();

  /** Announces a process or its new state. */
  CompletionStage<Void> announce(ListedProcess process);

  /** Withdraws the announcement of a process; also succeeds if there is none. */
  CompletionStage<Void> withdraw(String id);
}
