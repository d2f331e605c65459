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

/** Event loop that keeps account of its work. */
public final class AccountedEventLoop extends SingleThreadIoEventLoop {

  private final WorkAccount account;

  private AccountedEventLoop(LoopGroup group, Executor executor, WorkAccount account) {
    super(group, executor, accounted(account));
    this.account = account;
  }

  /** Returns a new loop; its thread starts with its first task. */
  public static AccountedEventLoop create() {
    return (AccountedEventLoop) new LoopGroup().next();
  }

  private static IoHandlerFactory accounted(WorkAccount account) {
    IoHandlerFactory nio = NioIoHandler.newFactory();
    return executor -> new AccountedIoHandler(nio.newHandler(executor), account);
  }

  /** Returns the account of this loop; to be read by its thread. */
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

  /** Group of one loop, whose thread it gives the name by which the account of threads knows it. */
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
