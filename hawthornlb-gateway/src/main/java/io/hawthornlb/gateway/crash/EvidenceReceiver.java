package io.hawthornlb.gateway.crash;

/** Receives what other instances have learned of parts. */
public interface EvidenceReceiver {

  /**
   * Receives an update.
   *
   * @param source where the update comes from, for the log
   */
  void receive(String source, PartUpdate update);
}
