/**
 * Decides which control machine may call the platform to appoint a primary.
 *
 * One process holds the appointment lease at a time. The lease stays with a holder that is reachable, also when another
 * machine leads; the leader then asks the holder to appoint. Otherwise the leader takes the lease, which raises the fencing
 * token; where the platform requires fencing, it refuses lower tokens. Elsewhere no call is sent under a lower token after
 * one under a higher token (`appointment_permits.ts`).
 *
 * Each call is recorded in the replicated log before it is sent, and its record ends once the call can no longer take effect
 * (`catalog/pending_appointment_table.ts`).
 *
 * The lease is stored in the catalog under the name `duty`. A step that fails is retried by the change of primary.
 */
import type { Catalog } from '../catalog/catalog.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { AppointmentCall, type AppointmentCallContext, logCallStage } from './appointment_call.js';
import { AppointmentCallEnds } from './appointment_call_ends.js';
import type { RecordedCall } from './appointment_permits.js';

const { AppointOutcome } = whinyoke;

/** Outcomes of calls that have had no effect and never will. */
const OUTCOMES_WITHOUT_EFFECT: ReadonlySet<whinyoke.AppointOutcome> = new Set([
  AppointOutcome.TRY_LATER,
  AppointOutcome.NOT_RUNNING,
  AppointOutcome.NOT_SENT,
]);

/** Timeout for the holder to call the platform and answer. */
const REQUEST_TIMEOUT_MS = 2500;

/** After this many calls in a row that a reachable holder could not send, the leader takes the lease over. */
const MAX_UNSENT_CALLS = 3;

/** Proposes a command to the replicated log. */
export type Proposer = (command: whinyoke.ICatalogCommand) => Promise<whinyoke.CatalogResult>;

export interface AppointmentLeaseDependencies extends AppointmentCallContext {
  readonly catalog: Catalog;
  /** Proposes a command to the replicated log. */
  readonly propose: Proposer;
  /** Term in which this machine leads. */
  readonly term: () => number;
  /** Whether the control machine at an address answered recently. */
  readonly isInTouch: (address: string) => boolean;
}

/** The appointment lease as seen by one control machine. */
export class AppointmentLease {
  /** Calls in a row that another holder could not send. */
  private unsentCalls = 0;
  /** Calls that this process has proposed to record. */
  private recordedCalls = 0;
  private readonly callEnds: AppointmentCallEnds;

  constructor(private readonly dependencies: AppointmentLeaseDependencies) {
    this.callEnds = new AppointmentCallEnds(dependencies);
  }

  /** Called when this machine begins to lead. */
  beginLeadership(): void {
    this.unsentCalls = 0;
    this.dependencies.permits.beginLeadership();
  }

  /**
   * Appoints the target of a group's change through the holder, or takes the lease over when the holder is unreachable.
   * Called on the leader. `UNKNOWN` if the call may still take effect.
   */
  async appoint(group: string, instance: string): Promise<whinyoke.AppointOutcome> {
    const { self, catalog, isInTouch } = this.dependencies;
    const { holder, holderAddress } = catalog.appointmentLeaseEntry;
    const isHeldByOther = holder !== undefined && holder !== self.name;
    const isHolderAble = isInTouch(holderAddress ?? '') && this.unsentCalls < MAX_UNSENT_CALLS;
    if (isHeldByOther && isHolderAble) {
      const outcome = await this.appointThrough(holderAddress ?? '', group, instance);
      if (outcome !== undefined) return outcome;
    }
    if (catalog.appointmentLeaseEntry.holder !== self.name) await this.takeOver();
    return this.appointAsHolder(group, instance);
  }

  /** Handles the leader's request: appoints if this process still holds the lease under that token. */
  async onRequest(request: whinyoke.IAppointRequest): Promise<whinyoke.IAppointReply> {
    const { self, catalog } = this.dependencies;
    const { holder, token } = catalog.appointmentLeaseEntry;
    if (holder !== self.name || token !== request.token) {
      return { outcome: AppointOutcome.NOT_SENT };
    }
    const { group, instance, call: id } = request;
    const call = { group: group ?? '', instance: instance ?? '', token: token ?? 0, id: id ?? '' };
    return { outcome: await this.call(call) };
  }

  /** Handles the report of a machine that its call can no longer take effect. */
  async onCallEnd(
    request: whinyoke.IAppointCallEndRequest,
  ): Promise<whinyoke.IAppointCallEndReply> {
    await this.callEnds.end({ group: request.group ?? '', id: request.call ?? '' });
    return {};
  }

  /** Handles the holder's request for a permit. */
  onPermitRequest(request: whinyoke.IAppointPermitRequest): whinyoke.IAppointPermitReply {
    const { group, token, call } = request;
    const granted = this.dependencies.permits.grant({
      group: group ?? '',
      token: token ?? 0,
      id: call ?? '',
    });
    return { granted };
  }

  /** Takes the lease over once no call can be sent under the present token. */
  private async takeOver(): Promise<void> {
    const { self, permits, propose } = this.dependencies;
    const takeDuty = { holder: self.name, holderAddress: self.address };
    await permits.refuseDuring(async () => {
      await permits.awaitEnd();
      await propose({ takeDuty });
    });
    this.unsentCalls = 0;
  }

  private async appointAsHolder(group: string, instance: string): Promise<whinyoke.AppointOutcome> {
    const { catalog, self } = this.dependencies;
    const isHolder = catalog.appointmentLeaseEntry.holder === self.name;
    const call = isHolder ? await this.record(group, instance) : undefined;
    if (!call) return AppointOutcome.NOT_SENT;
    return this.conclude(call, await this.call(call));
  }

  private async call(call: RecordedCall): Promise<whinyoke.AppointOutcome> {
    const outcome = await new AppointmentCall(this.dependencies, call).run();
    void this.callEnds.endAfter(call, outcome);
    return outcome;
  }

  /** Appoints through another machine; undefined if that is unreachable, so that the caller takes the lease over. */
  private async appointThrough(
    address: string,
    group: string,
    instance: string,
  ): Promise<whinyoke.AppointOutcome | undefined> {
    const call = await this.record(group, instance);
    if (!call) return AppointOutcome.NOT_SENT;
    const outcome = await this.requestCall(address, call);
    this.unsentCalls = outcome === AppointOutcome.NOT_SENT ? this.unsentCalls + 1 : 0;
    if (outcome !== undefined) return this.conclude(call, outcome);
    await this.endUnlessPermitted(call);
    return undefined;
  }

  /** Ends the record of a call that the holder can't have sent, since it had no permit and gets none. */
  private endUnlessPermitted(call: RecordedCall): Promise<void> {
    const { permits } = this.dependencies;
    return permits.refuseDuring(async () => {
      if (!permits.wasGranted(call)) await this.callEnds.end(call);
    });
  }

  private async requestCall(
    address: string,
    { group, instance, token, id: call }: RecordedCall,
  ): Promise<whinyoke.AppointOutcome | undefined> {
    const appointRequest = { group, instance, token, call };
    const { messenger } = this.dependencies;
    try {
      const body = await messenger.request(address, { appointRequest }, REQUEST_TIMEOUT_MS);
      return body.appointReply?.outcome ?? AppointOutcome.UNKNOWN;
    } catch {
      // Whether the holder called is not known: the record of the call stays, and the caller takes the lease over.
      return undefined;
    }
  }

  /** Records a call before it is made; undefined if it may not be made. @throws what the proposal throws */
  private async record(group: string, instance: string): Promise<RecordedCall | undefined> {
    const { catalog, propose, self, log } = this.dependencies;
    const { token, holder } = catalog.appointmentLeaseEntry;
    const call = { group, instance, token: token ?? 0, id: this.nextCallId() };
    try {
      const { changed } = await propose({ beginAppointmentCall: call });
      if (!changed) return undefined;
    } catch (error) {
      // The call is not made, and may be recorded all the same.
      void this.callEnds.endAfter(call, AppointOutcome.NOT_SENT);
      throw error;
    }
    logCallStage(log, 'intended', holder ?? self.name, call);
    return call;
  }

  /** A machine that starts again leads in a later term, so no identifier is used twice. */
  private nextCallId(): string {
    const { self, term } = this.dependencies;
    this.recordedCalls++;
    return `${self.name}/${term()}/${this.recordedCalls}`;
  }

  /** Ends the record of a call that certainly has no effect. */
  private async conclude(
    call: RecordedCall,
    outcome: whinyoke.AppointOutcome,
  ): Promise<whinyoke.AppointOutcome> {
    if (OUTCOMES_WITHOUT_EFFECT.has(outcome)) await this.callEnds.end(call);
    return outcome;
  }
}
