/** Consensus metrics of the control daemons of both interfaces, read from the node each time the metrics are fetched. */
import type { Registry } from 'prom-client';
import type { RaftNode } from '../consensus/raft_node.js';
import { addGauge } from '../observability/gauges.js';

/** Adds gauges for the term and the leader role of a control machine. */
export function addConsensusGauges(registry: Registry, node: RaftNode): void {
  addGauge(registry, 'whinyoke_consensus_term', 'Current consensus term', () => node.currentTerm);
  addGauge(registry, 'whinyoke_consensus_leader', '1 on the leader', () =>
    node.role === 'leader' ? 1 : 0,
  );
}

/** Adds a gauge for the size of the log of a control machine. */
export function addLogBytes(registry: Registry, node: RaftNode): void {
  addGauge(registry, 'whinyoke_log_bytes', 'Bytes of log and snapshot', () => node.log.byteLength);
}
