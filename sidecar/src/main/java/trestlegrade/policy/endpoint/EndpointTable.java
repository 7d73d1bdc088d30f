package trestlegrade.policy.endpoint;

import com.carrotsearch.hppc.LongIntHashMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import trestlegrade.policy.settings.PolicySettings;

/** The endpoints that one sidecar knows, by id and by index; applies the updates of the endpoint list. */
public final class EndpointTable {
    private static final int UNKNOWN = -1;

    private final PolicySettings settings;
    private final LongIntHashMap indexById = new LongIntHashMap();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Endpoint> readOnly = Collections.unmodifiableList(endpoints);
    private final List<InstanceType> types = new ArrayList<>();

    /** Begins empty. */
    public EndpointTable(PolicySettings settings) {
        this.settings = settings;
    }

    /** Applies updates; with {@code complete} endpoints that none of them names have left. */
    public void apply(long now, List<EndpointUpdate> updates, boolean complete) {
        if (complete) {
            endpoints.forEach(Endpoint::leave);
        }
        for (EndpointUpdate update : updates) {
            apply(now, update);
        }
        if (settings.weights() == PolicySettings.Weights.LIVE) {
            endpoints.forEach(endpoint -> endpoint.readLoadFromWeight(now));
        }
    }

    private void apply(long now, EndpointUpdate update) {
        Endpoint known = byId(update.id());
        if (update.state() == EndpointUpdate.State.GONE) {
            if (known != null) {
                known.leave();
            }
            return;
        }
        Endpoint endpoint = known == null ? add(update.id()) : known;
        if (known == null || update.launchedAt() > endpoint.slowStart().launchedAt()) {
            endpoint.onRestart(now, update.launchedAt(), meanDropRate());
        }
        endpoint.applyUpdate(update, type(update.kind()), settings.weights() != PolicySettings.Weights.NONE);
    }

    /** Takes the place of one that has left, if there is one: endpoints come and go all day. */
    private Endpoint add(long id) {
        int index = vacancy();
        Endpoint endpoint = new Endpoint(id, index, settings);
        if (index == endpoints.size()) {
            endpoints.add(endpoint);
        } else {
            indexById.remove(endpoints.set(index, endpoint).id());
        }
        indexById.put(id, index);
        return endpoint;
    }

    private int vacancy() {
        for (Endpoint endpoint : endpoints) {
            if (endpoint.isVacant()) {
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

    /** Of the endpoints that take new work: where one that starts begins, since a slow fleet is no fault of its own. */
    private double meanDropRate() {
        return endpoints.stream()
                .filter(Endpoint::isReady)
                .mapToDouble(endpoint -> endpoint.dropRate().value())
                .average()
                .orElse(0);
    }

    /** The endpoint of that id, or null. */
    public Endpoint byId(long id) {
        int index = indexById.getOrDefault(id, UNKNOWN);
        return index == UNKNOWN ? null : endpoints.get(index);
    }

    /** The endpoint at that index. */
    public Endpoint get(int index) {
        return endpoints.get(index);
    }

    /** Number of places in the table, those of endpoints that have left included. */
    public int size() {
        return endpoints.size();
    }

    /** All of them by index, those that have left included; a view. */
    public List<Endpoint> all() {
        return readOnly;
    }

    /** The instance types that the list has named. */
    public List<InstanceType> types() {
        return types;
    }
}
