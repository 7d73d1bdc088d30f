package trestlegrade.runtime;

import trestlegrade.policy.LoadBalancer;
import trestlegrade.policy.PolicyActions;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.settings.PolicySettings;

/**
 * One set of settings in use, with the load balancer that decides under it.
 *
 * <p>A generation begins at the start of the sidecar or at a SIGHUP with new settings, and accepts all transactions
 * that are read until the next generation takes its place. From then on it is retiring: it decides on its open
 * transactions, also on those that it has accepted but not yet seen, until the last of them has ended, so that the
 * rules never change for an open transaction. Confined to the event loop.
 */
public final class PolicyGeneration implements PolicyActions {
    private final PolicyExecutor executor;
    private final LoadBalancer loadBalancer;
    private int openTransactions;

    PolicyGeneration(PolicyExecutor executor, PolicySettings settings, long seed, EndpointListLease lease) {
        this.executor = executor;
        loadBalancer = new LoadBalancer(settings, seed, this, lease);
    }

    LoadBalancer loadBalancer() {
        return loadBalancer;
    }

    boolean hasOpenTransactions() {
        return openTransactions > 0;
    }

    void transactionAccepted() {
        openTransactions++;
    }

    void transactionEnded() {
        openTransactions--;
    }

    @Override
    public void send(long transactionId, long endpointId, long timeoutTicks, long writeBefore) {
        executor.startAttempt(transactionId, endpointId, timeoutTicks, writeBefore);
    }

    @Override
    public void cancel(long transactionId, int attempt) {
        executor.cancelAttempt(transactionId, attempt);
    }

    @Override
    public void rollBack(long transactionId, long retryAfterTicks, RejectionReason reason) {
        executor.rollBack(transactionId, retryAfterTicks, reason);
    }

    @Override
    public void abandon(long transactionId, RejectionReason reason) {
        executor.abandon(transactionId, reason);
    }

    @Override
    public void scheduleTick(long delayTicks) {
        executor.scheduleTick(loadBalancer, delayTicks);
    }

    @Override
    public void subscribe() {
        executor.watchEndpointList();
    }
}
