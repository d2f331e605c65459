package io.hawthornlb.gateway.loop;

import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.event.EventLog;
import io.netty.channel.EventLoop;

/** Logs how the processor time since the start of the process was spent. */
public final class WorkReport {

  private final EventLoop loop;
  private final ThreadTimes threads;
  private final EventLog log;

  /**
   * Creates a report about an event loop; a loop without an account is reported with its threads
   * only.
   */
  public WorkReport(EventLoop loop, ThreadTimes threads, EventLog log) {
    this.loop = loop;
    this.threads = threads;
    this.log = log;
  }

  /** Writes a log line; called on the thread of the loop. */
  public void write() {
    EventLine line = log.important("process", "processor.time");
    threads.read().forEach((thread, micros) -> line.with(thread + "Thread", micros));
    if (loop instanceof AccountedEventLoop accounted) {
      write(line, accounted.account());
    }
    line.write();
  }

  private static void write(EventLine line, WorkAccount account) {
    for (WorkKind kind : WorkKind.values()) {
      if (account.count(kind) > 0) {
        line.with(kind.label() + "Micros", account.nanos(kind) / 1_000);
        line.with(kind.label() + "s", account.count(kind));
      }
    }
    line.with("flushes", account.flushes());
  }
}
