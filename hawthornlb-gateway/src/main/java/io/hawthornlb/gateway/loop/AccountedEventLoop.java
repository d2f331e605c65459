package io.hawthornlb.gateway.loop;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/** Event loop that measures the time of its work by kind. */
public final class AccountedEventLoop extends SingleThreadIoEventLoop {

  private final WorkAccount account;

  private AccountedEventLoop(LoopGroup group, Executor executor, WorkAccount account) {
    super(group, executor, accounted(account));
    this.account = account;
  }

  /** Creates a loop, whose thread starts with the first task. */
  public static AccountedEventLoop create() {
    return (AccountedEventLoop) new LoopGroup().next();
  }

  private static IoHandlerFactory accounted(WorkAccount account) {
    IoHandlerFactory nio = NioIoHandler.newFactory();
    return executor -> new AccountedIoHandler(nio.newHandler(executor), account);
  }

  /** Returns the account of this loop, which only the loop's own thread may read. */
  public WorkAccount account() {
    return account;
  }

  @Override
  protected int runIo() {
    account.begin(WorkKind.SELECT);
    int handled = super.runIo();
    account.begin(WorkKind.LOOP);
    return handled;
  }

  @Override
  protected @Nullable Runnable pollTask() {
    Runnable task = super.pollTask();
    if (task != null) {
      account.begin(task instanceof ScheduledFuture ? WorkKind.TIMER : WorkKind.TASK);
    }
    return task;
  }

  @Override
  protected void afterRunningAllTasks() {
    account.begin(WorkKind.LOOP);
    super.afterRunningAllTasks();
  }

  /** Group of one loop. Names the loop's thread so that {@link ThreadTimes} recognizes it. */
  private static final class LoopGroup extends MultiThreadIoEventLoopGroup {

    private LoopGroup() {
      super(
          1,
          new DefaultThreadFactory(ThreadTimes.LOOP_NAME, Thread.MAX_PRIORITY),
          NioIoHandler.newFactory());
    }

    @Override
    protected IoEventLoop newChild(
        Executor executor, IoHandlerFactory ioHandlerFactory, Object... more) {
      return new AccountedEventLoop(this, executor, new WorkAccount(System::nanoTime));
    }
  }
}
