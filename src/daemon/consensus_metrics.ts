/** Metrics of the control daemons of both interfaces. Owns nothing; reads the node when metrics are fetched. */
import type { Registry } from 'prom-client';
import type { RaftNode } from '../consensus/raft_node.js';
import { addGauge } from '../observability/gauges.js';

/** Adds term and role of a control machine. */
export function addConsensusGauges(registry: Registry, node: RaftNode): void {
  addGauge(registry, 'whinyoke_consensus_term', 'Current consensus term', () => node.currentTerm);
  addGauge(registry, 'whinyoke_consensus_leader', '1 on the leader', () =>
    node.role === 'leader' ? 1 : 0,
  );
}

/** Adds the size of the log of a control machine. */
export function addLogBytes(registry: Registry, node: RaftNode): void {
  addGauge(registry, 'whinyoke_log_bytes', 'Bytes of log and snapshot', () => node.log.byteLength);
}
