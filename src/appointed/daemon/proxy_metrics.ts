/**
 * Metrics of a proxy for groups with appointed primaries. Counters and histograms are updated by requests; gauges are read
 * from the proxy each time the metrics are fetched.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { addGauge } from '../../observability/gauges.js';
import { MILLISECONDS_PER_SECOND } from '../../runtime/duration.js';
import type { RequestCounters } from '../proxy/proxy_context.js';
import type { AppointedProxy } from '../proxy/appointed_proxy.js';

/** Upper bounds of the latency buckets, in seconds; they cover the latency objectives of routes. */
const LATENCY_BUCKETS_S = [0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.25, 0.5, 1, 2];

/** Metrics of one proxy. */
export class ProxyMetrics implements RequestCounters {
  /** Registry served by the metrics endpoint. */
  readonly registry = new Registry();
  private readonly latency = new Histogram({
    name: 'whinyoke_request_seconds',
    help: 'Time to answer a statement, by route and outcome',
    labelNames: ['route', 'outcome'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly servedBy = new Counter({
    name: 'whinyoke_served_total',
    help: 'Statements served by an instance; `replica_allowed` tells whether the route lets replicas serve',
    labelNames: ['route', 'instance', 'role', 'replica_allowed'],
    registers: [this.registry],
  });
  private readonly retries = new Counter({
    name: 'whinyoke_retries_total',
    help: 'Statements tried again, by route and cause',
    labelNames: ['route', 'cause'],
    registers: [this.registry],
  });

  private readonly allowedRegionRefusals = new Counter({
    name: 'whinyoke_refused_by_homes_total',
    help: 'Requests refused since their homes left no instance, by route',
    labelNames: ['route'],
    registers: [this.registry],
  });

  /** Records the latency of an answer to a caller. */
  answered(route: string, outcome: string, durationMs: number): void {
    this.latency.observe({ route, outcome }, durationMs / MILLISECONDS_PER_SECOND);
  }

  /** Counts a statement served by an instance. */
  served(route: string, instance: string, isPrimary: boolean, isReplicaAllowed: boolean): void {
    const role = isPrimary ? 'primary' : 'replica';
    this.servedBy.inc({ route, instance, role, replica_allowed: String(isReplicaAllowed) });
  }

  /** Counts a retry of a statement. */
  retried(route: string, cause: string): void {
    this.retries.inc({ route, cause });
  }

  /** Counts a request refused because no instance is in its allowed regions. */
  refusedByAllowedRegions(route: string): void {
    this.allowedRegionRefusals.inc({ route });
  }

  /** Registers the gauges of a proxy. */
  watch(core: AppointedProxy): void {
    this.addSynchronisation(core);
    this.addTenantOperations(core);
    this.addRelayedRequests(core);
    this.addColdRequests(core);
    this.addPoolConnections(core);
    this.addPoolRefusals(core);
    this.addIncarnations(core);
    this.addPrimaryEpochs(core);
    this.addEvacuatedZones(core);
  }

  private addSynchronisation(core: AppointedProxy): void {
    const gauge = (name: string, help: string, value: () => number): void =>
      addGauge(this.registry, name, help, value);
    gauge('whinyoke_sync_age_seconds', 'Age of the newest answer of control', () => {
      return Math.min(core.syncAgeMs, Number.MAX_SAFE_INTEGER) / MILLISECONDS_PER_SECOND;
    });
    gauge('whinyoke_document_version', 'Routing document in force', () => {
      return core.table?.version ?? 0;
    });
    gauge('whinyoke_catalog_version', 'Catalog in force', () => core.knownVersion);
    gauge(
      'whinyoke_relayed_open',
      'Statements and transactions of other proxies that are under way',
      () => core.relayedCount,
    );
  }

  private addTenantOperations(core: AppointedProxy): void {
    const operations = new Gauge({
      name: 'whinyoke_tenant_operations',
      help: 'Operations of tenants since the start, by how they were counted',
      labelNames: ['outcome'],
      registers: [this.registry],
      collect: () => {
        for (const [outcome, count] of Object.entries(core.allowances.counts)) {
          operations.set({ outcome }, count);
        }
      },
    });
  }

  private addRelayedRequests(core: AppointedProxy): void {
    const relayed = new Gauge({
      name: 'whinyoke_relayed_requests',
      help: 'Requests of other proxies since the start, by outcome',
      labelNames: ['outcome'],
      registers: [this.registry],
      collect: () => {
        for (const [outcome, count] of core.relayCounts) relayed.set({ outcome }, count);
      },
    });
  }

  private addColdRequests(core: AppointedProxy): void {
    const cold = new Gauge({
      name: 'whinyoke_cold_instance_requests',
      help: 'Requests for instances that warm up since the start: sent by this proxy as their holder, and refused here',
      labelNames: ['outcome'],
      registers: [this.registry],
      collect: () => {
        for (const [outcome, count] of Object.entries(core.slowStarts.counts)) {
          cold.set({ outcome }, count);
        }
      },
    });
  }

  private addPoolConnections(core: AppointedProxy): void {
    const pool = new Gauge({
      name: 'whinyoke_pool_connections',
      help: 'Connections to instances, by state',
      labelNames: ['group', 'instance', 'state'],
      registers: [this.registry],
      collect: () => {
        for (const {
          target,
          size,
          inUseCount,
          waitingCount,
          concurrencyLimit,
          load,
        } of core.allPools) {
          const labels = { group: target.group, instance: target.id };
          pool.set({ ...labels, state: 'open' }, size);
          pool.set({ ...labels, state: 'used' }, inUseCount);
          pool.set({ ...labels, state: 'waiting' }, waitingCount);
          pool.set({ ...labels, state: 'latency_ms' }, load.latencyMs);
          // 0: no limit, since the instance refuses no requests.
          const window = Number.isFinite(concurrencyLimit) ? concurrencyLimit : 0;
          pool.set({ ...labels, state: 'window' }, window);
        }
      },
    });
  }

  private addPoolRefusals(core: AppointedProxy): void {
    const refused = new Gauge({
      name: 'whinyoke_pool_refused',
      help: 'Requests that got no connection of this process to an instance since the start, by cause',
      labelNames: ['group', 'instance', 'cause'],
      registers: [this.registry],
      collect: () => {
        for (const { target, refusalCounts: counts } of core.allPools) {
          const labels = { group: target.group, instance: target.id };
          for (const [cause, count] of counts) refused.set({ ...labels, cause }, count);
        }
      },
    });
  }

  private addEvacuatedZones(core: AppointedProxy): void {
    const zones = new Gauge({
      name: 'whinyoke_evacuated_zone_idle_seconds',
      help: 'Time since a statement was last sent from here to an evacuated zone; -1: none was since the start',
      labelNames: ['zone'],
      registers: [this.registry],
      collect: () => {
        zones.reset();
        for (const zone of core.evacuatedZones.names) {
          const idleMs = core.clock.now() - core.instances.lastStatementIn(zone);
          zones.set({ zone }, Number.isFinite(idleMs) ? idleMs / MILLISECONDS_PER_SECOND : -1);
        }
      },
    });
  }

  private addIncarnations(core: AppointedProxy): void {
    const incarnations = new Gauge({
      name: 'whinyoke_instance_incarnation',
      help: 'Incarnation of each instance that this proxy uses; 0 is the first',
      labelNames: ['group', 'instance'],
      registers: [this.registry],
      collect: () => {
        for (const { target } of core.allPools) {
          const labels = { group: target.group, instance: target.id };
          incarnations.set(labels, target.incarnation ?? 0);
        }
      },
    });
  }

  private addPrimaryEpochs(core: AppointedProxy): void {
    const epochs = new Gauge({
      name: 'whinyoke_primary_epoch',
      help: 'Epoch of each group; `leased` tells whether its primary is trusted now',
      labelNames: ['group', 'primary', 'leased'],
      registers: [this.registry],
      collect: () => {
        epochs.reset();
        for (const group of new Set(core.allPools.map(({ target }) => target.group))) {
          const entry = core.leases.entryOf(group);
          const leased = core.leases.primaryOf(group, core.clock.now()) !== undefined;
          const labels = { group, primary: entry?.primary ?? '', leased: String(leased) };
          epochs.set(labels, entry?.epoch ?? 0);
        }
      },
    });
  }
}
