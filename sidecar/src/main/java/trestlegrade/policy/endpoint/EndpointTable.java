package trestlegrade.policy.endpoint;

import com.carrotsearch.hppc.LongIntHashMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import trestlegrade.policy.settings.PolicySettings;

/** The endpoints known to one sidecar, by id and by index. Applies the updates of the endpoint list. */
public final class EndpointTable {
    private static final int UNKNOWN = -1;

    private final PolicySettings settings;
    private final LongIntHashMap indexById = new LongIntHashMap();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Endpoint> endpointsView = Collections.unmodifiableList(endpoints);
    private final List<InstanceType> types = new ArrayList<>();

    /** Creates an empty table. */
    public EndpointTable(PolicySettings settings) {
        this.settings = settings;
    }

    /** Applies updates; if {@code complete}, the endpoints that none of them names are marked as removed. */
    public void apply(long now, List<EndpointUpdate> updates, boolean complete) {
        if (complete) {
            endpoints.forEach(Endpoint::markGone);
        }
        for (EndpointUpdate update : updates) {
            apply(now, update);
        }
        if (settings.weights() == PolicySettings.Weights.LIVE) {
            endpoints.forEach(endpoint -> endpoint.updateReportedLoad(now));
        }
    }

    private void apply(long now, EndpointUpdate update) {
        Endpoint known = byId(update.id());
        if (update.state() == EndpointUpdate.State.GONE) {
            if (known != null) {
                known.markGone();
            }
            return;
        }
        Endpoint endpoint = known == null ? add(update.id()) : known;
        if (known == null || update.launchedAt() > endpoint.slowStart().launchedAt()) {
            endpoint.onRestart(now, update.launchedAt(), meanDropRate());
        }
        endpoint.applyUpdate(update, type(update.instanceType()), settings.weights() != PolicySettings.Weights.NONE);
    }

    /**
     * Adds an endpoint. It reuses the index of an endpoint that was removed from the list if there is one, because
     * endpoints are replaced all day.
     */
    private Endpoint add(long id) {
        int index = findFreeIndex();
        Endpoint endpoint = new Endpoint(id, index, settings);
        if (index == endpoints.size()) {
            endpoints.add(endpoint);
        } else {
            indexById.remove(endpoints.set(index, endpoint).id());
        }
        indexById.put(id, index);
        return endpoint;
    }

    private int findFreeIndex() {
        for (Endpoint endpoint : endpoints) {
            if (endpoint.isReplaceable()) {
                return endpoint.index();
            }
        }
        return endpoints.size();
    }

    private InstanceType type(int number) {
        while (number >= types.size()) {
            types.add(new InstanceType());
        }
        return types.get(number);
    }

    /**
     * Returns the mean drop rate of the ready endpoints, which is the initial drop rate of an endpoint that has just
     * started. If the fleet is slow as a whole, the new endpoint is not the cause.
     */
    private double meanDropRate() {
        return endpoints.stream()
                .filter(Endpoint::isReady)
                .mapToDouble(endpoint -> endpoint.dropRate().value())
                .average()
                .orElse(0);
    }

    /** Returns the endpoint with the id, or null. */
    public Endpoint byId(long id) {
        int index = indexById.getOrDefault(id, UNKNOWN);
        return index == UNKNOWN ? null : endpoints.get(index);
    }

    /** Returns the endpoint at the index. */
    public Endpoint get(int index) {
        return endpoints.get(index);
    }

    /** Returns the number of indexes, including those of endpoints that were removed from the list. */
    public int size() {
        return endpoints.size();
    }

    /** Returns a view of all endpoints by index, including those that were removed from the list. */
    public List<Endpoint> all() {
        return endpointsView;
    }

    /** Returns the instance types that the list has named. */
    public List<InstanceType> types() {
        return types;
    }
}
