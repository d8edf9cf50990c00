/** A cluster of control machines on the simulated runtime, without proxies and databases. */
import type { ControlCore } from '../../src/mysql/control/control_core.js';
import { ProtectionSet } from '../../src/mysql/gateway/protections.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { OperatorClient } from '../../src/cli/operator_client.js';
import { QUETZAL } from '../../lab/fleet/deployment.js';
import { configurationFor } from '../../lab/fleet/layout.js';
import type { SimulatedControl } from '../../lab/simulation/simulated_nodes.js';
import { World } from '../../lab/simulation/world.js';

const LIMIT_MS = 20_000;

export class ControlCluster {
  readonly world: World;
  private nextSubmission = 1;

  constructor(size: number, seed: number) {
    this.world = new World({
      seed,
      deployment: { ...QUETZAL, controls: size },
      protections: ProtectionSet.all,
      lagMs: 0,
      electionTimeoutMs: 300,
    });
    for (const control of this.controls) control.start();
  }

  get controls(): readonly SimulatedControl[] {
    return this.world.controls;
  }

  /** The control machine that leads and is in contact with a majority. */
  get leader(): ControlCore | undefined {
    const cores = this.controls.map((control) => control.core);
    return cores.find((core) => core?.node.role === 'leader' && core.node.hasQuorum);
  }

  /** Whether every machine votes with its current identity. */
  get allMachinesVote(): boolean {
    const members = this.leader?.node.membership;
    return (
      members?.members.length === this.controls.length &&
      this.controls.every((control) => members.isVoter(control.core?.node.id ?? ''))
    );
  }

  async waitForLeader(): Promise<void> {
    const found = await this.world.runUntil(() => this.leader !== undefined, LIMIT_MS);
    if (!found) throw new Error('no leader was elected in time');
    await this.world.run(500);
  }

  /** Partitions two sets of machines from each other; the returned function heals the partition. */
  partition(left: readonly SimulatedControl[], right: readonly SimulatedControl[]): () => void {
    const hosts = (machines: readonly SimulatedControl[]): string[] =>
      machines.map((machine) => machine.host);
    const heals = [
      this.world.network.cut(hosts(left), hosts(right)),
      this.world.network.cut(hosts(right), hosts(left)),
    ];
    return () => heals.forEach((heal) => heal());
  }

  submission(name: string, submissionId: string, baseRevision?: number): whinyoke.ISubmitRequest {
    const document = configurationFor(this.world.layout).replace(/^name: .*/, `name: ${name}`);
    return {
      submissionId,
      kind: whinyoke.SubmissionKind.APPLY,
      name,
      // Groups, schemas and addresses must differ between documents.
      document: document
        .replaceAll(/(appointments|payments|bookings)/g, `$1-${name}`)
        .replaceAll(/127\.1\./g, `127.${name.charCodeAt(0)}.`),
      operator: 'test',
      hasBaseRevision: baseRevision !== undefined,
      baseRevision: baseRevision ?? 0,
    };
  }

  /** Sends submissions concurrently and waits for their outcomes. */
  async submitAll(
    ...submissions: readonly whinyoke.ISubmitRequest[]
  ): Promise<whinyoke.ISubmitReply[]> {
    const addresses = this.world.layout.controls.map((control) => control.internal);
    const { clock } = this.world.outside;
    const client = new OperatorClient(addresses, this.world.operatorMessenger(), clock);
    const results = Promise.all(submissions.map((item) => client.submit(item, 5000)));
    const settled = await this.world.runUntilSettled(results, LIMIT_MS);
    if (!settled) throw new Error('a submission got no outcome in time');
    return settled.map((result) => result.reply);
  }

  /** Applies a document and waits for the outcome. */
  async apply(
    name: string,
    submissionId = `s${this.nextSubmission++}`,
  ): Promise<whinyoke.ISubmitReply> {
    const [reply] = await this.submitAll(this.submission(name, submissionId));
    return reply!;
  }

  /** Sends a submission to each machine directly, without looking for the leader. */
  async applyAtAll(
    name: string,
    controls: readonly SimulatedControl[],
  ): Promise<whinyoke.ISubmitReply[]> {
    const messenger = this.world.operatorMessenger();
    const submitRequest = this.submission(name, 'direct');
    const answers = Promise.all(
      controls.map((control) => messenger.request(control.place.internal, { submitRequest }, 1000)),
    );
    const bodies = await this.world.runUntilSettled(answers, 2000);
    return (bodies ?? []).map((body) => body.submitReply ?? {});
  }
}
