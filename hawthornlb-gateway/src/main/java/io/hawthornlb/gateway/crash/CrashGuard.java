package io.hawthornlb.gateway.crash;

import io.hawthornlb.core.crash.Admission;
import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.core.crash.PromptParts;
import java.util.Optional;
import java.util.Set;

/**
 * Decides for requests, their further attempts, resumed streams and batch items alike whether they
 * may reach an endpoint, and learns from how their runs end.
 */
public interface CrashGuard {

  /** Guard that allows every request. */
  CrashGuard NONE =
      new CrashGuard() {
        @Override
        public Optional<CrashBlock> check(PromptParts parts) {
          return Optional.empty();
        }

        @Override
        public Admission admit(PromptParts parts) {
          return Admission.FREE;
        }

        @Override
        public void unsent(Set<String> probed) {}

        @Override
        public void began(String requestId, PromptParts parts) {}

        @Override
        public void broken(BrokenRun run) {}
      };

  /** Returns why a request need not wait for an endpoint; empty if it may be sent to one. */
  Optional<CrashBlock> check(PromptParts parts);

  /** Decides about a request that is about to be sent to an endpoint. */
  Admission admit(PromptParts parts);

  /** Records that a probe of some parts reached no endpoint, so that another one may be sent. */
  void unsent(Set<String> probed);

  /** Records that an endpoint has begun to write its answer to a request. */
  void began(String requestId, PromptParts parts);

  /** Records that a connection broke before the answer had begun. */
  void broken(BrokenRun run);
}
