/** A proxy without its listeners: configuration, membership, gateways and sessions. */
import type { BackendConnector } from '../backend/backend.js';
import { type GroupConfiguration, MAXIMUM_GATEWAYS } from '../configuration/configuration.js';
import type { CallerIdentity } from '../frontend/caller_session.js';
import { GatewaySession } from '../gateway/gateway_session.js';
import {
  DEFAULT_GATEWAY_OPTIONS,
  type GatewayOptions,
  GroupGateway,
} from '../gateway/group_gateway.js';
import type { GroupSession } from '../gateway/statement_request.js';
import { fastHash } from '../../hashing/fast_hash.js';
import { RendezvousTable } from '../../hashing/rendezvous.js';
import { seatsFor } from '../pool/shares.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { MessageBody, Runtime } from '../../runtime/runtime.js';
import { StallDetector } from '../../runtime/stall_detector.js';
import {
  ConfigurationKeeper,
  type ConfigurationState,
  DocumentParser,
} from './configuration_keeper.js';
import { ConfigurationSubscriber } from './configuration_subscriber.js';
import { ForwardServer } from './forward_server.js';
import { GatewayClient } from './gateway_client.js';
import { GroupDirectory } from './group_directory.js';
import {
  MembershipClient,
  type MembershipView,
  type ProxyMember,
  runName,
} from './membership_client.js';
import { ProxySession } from './proxy_session.js';
import { RemoteSession } from './remote_session.js';
import { reportGroup } from './status_report.js';
import { StopDeadline } from './stop_deadline.js';

/** Identity and surroundings of a proxy. */
export interface ProxyOptions {
  /** Unique name of the process. */
  readonly id: string;
  /** Address for messages of other processes. */
  readonly address: string;
  readonly zone: string;
  /** Addresses of the control machines. */
  readonly controls: readonly string[];
  readonly gateway?: Partial<GatewayOptions>;
}

/** Hears what a proxy does, for logs, metrics and histories. */
export interface ProxyObserver {
  onConfiguration?(revision: number): void;
  onPrimaryChange?(group: string, primary: string | undefined, term: number): void;
  onSeats?(group: string, seats: readonly number[]): void;
}

/** Time in which a replaced gateway ends its transactions, in milliseconds. */
const REPLACED_GATEWAY_MS = 15_000;

/** Whether a running gateway can take over a configuration without new connections and seats. */
function hasSameResources(left: GroupConfiguration, right: GroupConfiguration): boolean {
  const resourcesOf = ({ instances, limits }: GroupConfiguration): string => {
    const { slots, connections, monitoring_connections: monitoring, gateways } = limits;
    const addresses = instances.map(({ address, zone }) => [address, zone]);
    return JSON.stringify([addresses, slots, connections, monitoring, gateways]);
  };
  return resourcesOf(left) === resourcesOf(right);
}

/** One proxy. */
export class ProxyCore {
  private readonly keeper: ConfigurationKeeper;
  private readonly subscriber: ConfigurationSubscriber;
  private readonly membership: MembershipClient;
  private readonly forwardServer: ForwardServer;
  private readonly gatewayClient: GatewayClient;
  private readonly stalls: StallDetector;
  private readonly gatewayOptions: GatewayOptions;
  private readonly parser = new DocumentParser();
  private readonly holders = new RendezvousTable(MAXIMUM_GATEWAYS + 1, fastHash);
  private readonly gateways = new Map<string, GroupGateway>();
  private directory = GroupDirectory.empty;
  private peers: readonly ProxyMember[] = [];
  /** Addresses of the peers by name; looked up for each forwarded statement. */
  private peerAddresses: ReadonlyMap<string, string> = new Map();
  private leaving: ReadonlySet<string> = new Set();
  private ended = false;
  private nextSession = 1;
  /** Tells this run of the process from former ones, whose sessions may still be open elsewhere. */
  private readonly incarnation: string;
  /** Time limit of a planned stop. */
  readonly stopDeadline: StopDeadline;
  /** Number of callers' connections, set by the listener's owner. */
  countClients: () => number = () => 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly connector: BackendConnector,
    private readonly options: ProxyOptions,
    private readonly observer: ProxyObserver = {},
  ) {
    const { clock, random, messenger, folder } = runtime;
    this.incarnation = random.identifier();
    this.gatewayOptions = { ...DEFAULT_GATEWAY_OPTIONS, ...options.gateway };
    this.keeper = new ConfigurationKeeper(folder, this.gatewayOptions.protections, (state) =>
      this.onConfiguration(state),
    );
    this.subscriber = new ConfigurationSubscriber(
      options.id,
      options.controls,
      clock,
      random,
      messenger,
      this.keeper,
      this.gatewayOptions.protections.isOn('revision-check'),
    );
    this.membership = new MembershipClient(
      options.controls,
      clock,
      messenger,
      () => this.report(),
      (view) => this.onMembership(view),
    );
    this.gatewayClient = new GatewayClient(clock, messenger);
    this.stalls = new StallDetector(clock);
    this.stopDeadline = new StopDeadline(clock);
    this.updateHolders();
    this.forwardServer = new ForwardServer(clock, (group) => this.servingGateway(group));
  }

  /** Starts from the stored configuration and joins the fleet. */
  async start(): Promise<void> {
    this.runtime.messenger.serve((body) => this.handle(body));
    await this.keeper.load();
    this.stalls.start();
    this.subscriber.start();
    this.membership.start();
  }

  /** Revision of the configuration in force. */
  get revision(): number {
    return this.keeper.revision;
  }

  /** Whether a planned stop has begun. */
  get isStopping(): boolean {
    return this.stopDeadline.hasBegun;
  }

  /** Gateways that run here. */
  get activeGateways(): readonly GroupGateway[] {
    return [...this.gateways.values()];
  }

  /** Opens a caller's session. */
  openSession(identity: CallerIdentity): ProxySession {
    return new ProxySession(
      {
        directory: () => this.directory,
        openGroupSession: (group) => this.openGroupSession(group),
        isStopping: () => this.isStopping && this.gatewayOptions.protections.isOn('graceful-stop'),
        admitsStatement: () => this.stopDeadline.admitsStatement,
      },
      identity,
    );
  }

  /** Begins a planned stop: announces it, so that others take over the seats. */
  async beginStop(deadlineMs: number): Promise<void> {
    this.stopDeadline.begin(deadlineMs);
    await this.membership.announce();
    this.updateHolders();
    this.assignSeats();
  }

  /** Sessions of other proxies that have a transaction, a statement or unread rows here. */
  get forwardedSessionCount(): number {
    return this.forwardServer.sessionCount;
  }

  /** Ends all statements and transactions with their verdicts; nothing is sent to an instance any more. */
  endStatements(): void {
    this.ended = true;
    this.gatewayClient.stop();
    this.forwardServer.end();
    for (const gateway of this.gateways.values()) gateway.endStatements('the proxy is stopping');
  }

  /** Ends a planned stop, once the sessions of this proxy and forwarded ones are over. */
  finishStop(): void {
    this.stalls.stop();
    this.subscriber.stop();
    this.membership.stop();
    for (const gateway of this.gateways.values()) gateway.stop();
    this.gateways.clear();
  }

  /** Answers a message of another process. */
  async handle(body: MessageBody): Promise<MessageBody> {
    if (body.forwardRequest) return this.forwardServer.handle(body.forwardRequest);
    if (body.watchReply) {
      await this.keeper.accept(body.watchReply);
      return { refusal: { reason: '' } };
    }
    return { refusal: { reason: 'not a message for a proxy' } };
  }

  /** What this proxy tells control machines of itself. */
  report(): whinyoke.IProxyReport {
    const { id, address, zone } = this.options;
    return {
      id,
      address,
      zone,
      revision: this.keeper.revision,
      draining: this.isStopping,
      incarnation: this.incarnation,
      clientConnections: this.countClients(),
      groups: [...this.gateways.values()].map(reportGroup),
    };
  }

  private openGroupSession(group: string): GroupSession {
    const gateway = this.servingGateway(group);
    if (gateway) return new GatewaySession(gateway);
    const proxy = runName({ id: this.options.id, incarnation: this.incarnation });
    const sessionName = { proxy, session: String(this.nextSession++) };
    const context = {
      clock: this.runtime.clock,
      client: this.gatewayClient,
      stalls: this.stalls,
      gatewaysOf: (name: string) => this.gatewayAddresses(name),
    };
    return new RemoteSession(context, group, sessionName);
  }

  /** The gateway that may take new sessions of a group. */
  private servingGateway(group: string): GroupGateway | undefined {
    const gateway = this.gateways.get(group);
    return gateway?.acceptsSessions && !this.ended ? gateway : undefined;
  }

  private gatewayAddresses(group: string): readonly string[] {
    const configuration = this.directory.find(group);
    if (!configuration) return [];
    const candidates = this.holders.top(group).slice(0, configuration.limits.gateways + 1);
    const others = candidates.filter((id) => id !== this.options.id);
    return others.flatMap((id) => this.peerAddresses.get(id) ?? []);
  }

  private onMembership(view: MembershipView): void {
    this.peers = view.proxies;
    this.peerAddresses = new Map(view.proxies.map(({ id, address }) => [id, address]));
    this.leaving = view.leavingInstances;
    this.forwardServer.setLiveProxies(view.runs);
    if (this.updateHolders()) this.assignSeats();
    for (const gateway of this.gateways.values()) gateway.setLeaving(this.leaving);
  }

  private onConfiguration(state: ConfigurationState): void {
    const directory = new GroupDirectory(this.parser.parse(state));
    for (const [name, gateway] of this.gateways) {
      const next = directory.find(name);
      if (next && hasSameResources(next, gateway.configuration)) gateway.reconfigure(next);
      else this.retire(name, gateway);
    }
    this.directory = directory;
    this.holders.retainKeys(new Set(directory.groups.map((group) => group.name)));
    this.assignSeats();
    this.observer.onConfiguration?.(state.revision);
  }

  /** Lets a gateway that is not needed any more give up its seats, then stops it. */
  private retire(name: string, gateway: GroupGateway): void {
    this.gateways.delete(name);
    gateway.setSeats([]);
    this.runtime.clock.setTimer(REPLACED_GATEWAY_MS, () => gateway.stop());
  }

  /** Proxies that may hold seats: all live ones but those that are stopping. */
  private updateHolders(): boolean {
    const others = this.peers
      .filter((peer) => !peer.isDraining && peer.id !== this.options.id)
      .map((peer) => peer.id);
    const isAlone = others.length === 0;
    const holders = this.isStopping && !isAlone ? others : [...others, this.options.id];
    return this.holders.setNodes(new Set(holders));
  }

  private assignSeats(): void {
    for (const configuration of this.directory.groups) {
      const { name, limits } = configuration;
      const seats = seatsFor(this.options.id, this.holders.top(name), limits.gateways);
      if (seats.length > 0) this.ensureGateway(configuration).setSeats(seats);
      else this.gateways.get(name)?.setSeats([]);
      this.observer.onSeats?.(name, seats);
    }
  }

  private ensureGateway(configuration: GroupConfiguration): GroupGateway {
    const { name } = configuration;
    const existing = this.gateways.get(name);
    if (existing) return existing;
    const gateway = new GroupGateway(
      configuration,
      { clock: this.runtime.clock, random: this.runtime.random, connector: this.connector },
      this.gatewayOptions,
    );
    this.gateways.set(name, gateway);
    gateway.setLeaving(this.leaving);
    let primary: string | undefined;
    gateway.monitor.subscribe((group) => {
      if (group.primary === primary) return;
      primary = group.primary;
      this.observer.onPrimaryChange?.(name, primary, group.term);
    });
    gateway.start();
    return gateway;
  }
}
