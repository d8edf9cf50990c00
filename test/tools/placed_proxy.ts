/** One proxy for one group, with fake control, instances and other proxies; records where commands are sent. */
import { documentOf } from '../../src/appointed/catalog/document_source.js';
import { DEFAULT_PLACEMENT_RULES } from '../../src/appointed/placement/placement_rules.js';
import { AppointedProxy } from '../../src/appointed/proxy/appointed_proxy.js';
import type { RoutedSession } from '../../src/appointed/sessions/routed_session.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { RealClock } from '../../src/runtime/real_clock.js';
import type { MessageBody, RequestHandler, Runtime } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { PlatformDocumentReader } from '../../platform/routing_document.js';
import { FakeConnection } from './fake_connection.js';

const { RelayOutcome } = whinyoke;
/** How long fake control delays a reply. */
const LONG_POLL_MS = 10;
const OWN_ADDRESS = 'own:1';
const POSITION = { term: 1, sequence: 7 };

/** An instance or proxy in a zone. */
interface ZoneMember {
  readonly id: string;
  readonly zone: string;
}

/** Zones of the proxy under test and of the instances and proxies around it. */
export interface Placement {
  readonly zone: string;
  /** Omitted fields default to those of a usable instance. */
  readonly instances: readonly (ZoneMember & whinyoke.IInstanceEntry)[];
  /** Identifier of the primary. */
  readonly primary: string;
  /** Other proxies; their identifiers are their addresses. */
  readonly proxies?: readonly ZoneMember[];
  readonly connectionLimit?: number;
  /** Requests per second that a cold instance may receive; unlimited if omitted. */
  readonly coldRequestsPerSecond?: number;
  readonly regionByZone: Readonly<Record<string, string>>;
}

/** Destination of a command: an instance, and the proxy that relayed it, if any. */
export interface SentCommand {
  readonly instance: string;
  readonly via?: string;
}

/** Allowed regions of the route and the tenant in a document. */
export interface DocumentRegions {
  readonly route?: readonly string[] | null;
  readonly tenant?: readonly string[];
  readonly routeType?: string;
}

/** A document with one route to the group, and one tenant whose key is `key`. */
export function documentWith(
  version: number,
  regions: DocumentRegions,
  { connectionLimit = 30, coldRequestsPerSecond }: Partial<Placement> = {},
): string {
  const route = {
    name: 'r',
    hostname: 'db',
    route_type: regions.routeType ?? 'bounded_staleness',
    timeout_ms: 8000,
    target_latency_ms: 4000,
    service: 'g',
    max_staleness_ms: 1500,
    allowed_regions: regions.route,
  };
  const tenant = { name: 'ana', api_keys: ['key'], allowed_regions: regions.tenant };
  const services = [
    { name: 'g', connection_limit: connectionLimit, warmup_per_s: coldRequestsPerSecond },
  ];
  return JSON.stringify({ version, routes: [route], services, tenants: [tenant] });
}

export class PlacedProxy {
  readonly core: AppointedProxy;
  readonly sentCommands: SentCommand[] = [];
  readonly clock = new RealClock();
  /** Whether control reports positions of the primary. */
  reportsPositions = true;
  /** Evacuated zones; they are closed as soon as the proxy receives the order. */
  evacuatedZones: readonly string[] = [];
  /** Address of the slow-start lease holder; empty while none is named. */
  holderAddress = '';
  private version = 1;
  private handler: RequestHandler | undefined;
  private document: string;

  constructor(
    private readonly placement: Placement,
    regions: DocumentRegions,
  ) {
    this.document = documentWith(1, regions, placement);
    const request = (to: string, body: MessageBody): Promise<MessageBody> =>
      this.replyOfControl(to, body);
    const messenger = {
      request,
      serve: (handler: RequestHandler) => void (this.handler = handler),
    };
    const random = new SeededRandom(1);
    const runtime = { clock: this.clock, random, messenger } as unknown as Runtime;
    const regionByZone = new Map(Object.entries(placement.regionByZone));
    this.core = new AppointedProxy(runtime, {
      id: 'own',
      zone: placement.zone,
      address: OWN_ADDRESS,
      seeds: ['control:1'],
      connector: { connect: ({ id }) => Promise.resolve(this.open(id)) },
      reader: new PlatformDocumentReader(),
      log: () => undefined,
      counters: {
        answered: () => undefined,
        served: () => undefined,
        retried: () => undefined,
        refusedByAllowedRegions: () => undefined,
      },
      credentialFreshnessMs: Infinity,
      quotaRules: { windowMs: 5000, overage: 0, tolerance: 0 },
      placementRules: { ...DEFAULT_PLACEMENT_RULES, regionByZone, evacuationMs: 0 },
    });
  }

  /** Starts the proxy and opens a session once the first document has been applied. */
  async start(): Promise<RoutedSession> {
    this.core.start();
    await this.core.awaitTable(1000);
    await this.settle();
    return this.core.openSession('db', 'key')!;
  }

  /** Applies a document with other allowed regions. */
  async putDocument(regions: DocumentRegions): Promise<void> {
    this.version++;
    this.document = documentWith(this.version, regions, this.placement);
    while (this.core.table?.version !== this.version) await this.settle();
  }

  /** Relays a statement from another proxy to this one. */
  async receiveRelayed(relayRequest: whinyoke.IRelayRequest): Promise<whinyoke.IRelayReply> {
    const { relayReply } = await this.handler!({ relayRequest }, 'other:1');
    return relayReply ?? {};
  }

  /** Returns and clears the recorded commands. */
  takeSentCommands(): readonly SentCommand[] {
    return this.sentCommands.splice(0);
  }

  private settle(): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, 3 * LONG_POLL_MS));
  }

  private async replyOfControl(address: string, body: MessageBody): Promise<MessageBody> {
    if (body.relayRequest) return { relayReply: this.relay(address, body.relayRequest) };
    await new Promise((resolve) => setTimeout(resolve, LONG_POLL_MS));
    return { syncReply: this.synchronise() };
  }

  private synchronise(): whinyoke.ISyncReply {
    const { instances, primary, proxies = [], zone } = this.placement;
    // Age 0 means that the position is unknown.
    const age = this.reportsPositions ? 1 : 0;
    const group = { group: 'g', epoch: 1, primary, term: 1, version: 1 };
    const entries = instances.map((item) => ({
      group: 'g',
      address: '10.0.0.1:80',
      slots: 4,
      version: 1,
      holderAddress: this.holderAddress,
      holderIncarnation: this.holderAddress,
      ...item,
    }));
    const update = {
      document: documentOf(this.version, this.document),
      isWhole: true,
      instances: entries,
      groups: [group],
      evacuations: this.evacuatedZones.map((item) => ({ zone: item, begunAt: 1 })),
    };
    const fleet = [...proxies, { id: OWN_ADDRESS, zone }];
    const zones = fleet.map((proxy) => ({ zone: proxy.zone, addresses: [proxy.id] }));
    return {
      accepted: true,
      leaseMs: 3000,
      version: this.version,
      update: whinyoke.CatalogUpdate.encode(update).finish(),
      directory: { version: 1, liveProxies: fleet.length, zones: mergeZones(zones) },
      term: 1,
      positions: { terms: [POSITION.term], sequences: [POSITION.sequence], agesMs: [age] },
    };
  }

  private relay(via: string, request: whinyoke.IRelayRequest): whinyoke.IRelayReply {
    if (request.closes) return {};
    this.sentCommands.push({ instance: request.instance ?? '', via });
    const isOpen = request.command?.begin !== undefined || request.connection === 'kept';
    const state = isOpen && request.command?.commit === undefined ? 'open' : 'idle';
    const answer = { rows: [], signature: 's', state, position: POSITION };
    return { outcome: RelayOutcome.ANSWERED, connection: isOpen ? 'kept' : '', answer };
  }

  private open(instance: string): { connection: FakeConnection; position: typeof POSITION } {
    const connection = new FakeConnection();
    let state: 'idle' | 'open' = 'idle';
    const run: FakeConnection['run'] = (command) => {
      if (command.kind === 'begin') state = 'open';
      if (command.kind === 'commit' || command.kind === 'rollback') state = 'idle';
      this.sentCommands.push({ instance });
      return Promise.resolve({ rows: [], signature: 's', state, position: POSITION });
    };
    connection.run = run;
    return { connection, position: POSITION };
  }
}

function mergeZones(zones: readonly whinyoke.IZoneProxies[]): whinyoke.IZoneProxies[] {
  const byZone = new Map<string, string[]>();
  for (const { zone, addresses } of zones) {
    byZone.set(zone!, [...(byZone.get(zone!) ?? []), ...(addresses ?? [])]);
  }
  return [...byZone].map(([zone, addresses]) => ({ zone, addresses }));
}
