/**
 * Decides which control machine may call the platform to appoint a primary.
 *
 * One process holds the appointment lease at a time, so that two machines that both believe they lead, or a holder that
 * stalled, can't make conflicting calls. The lease stays with a holder that is reachable, also when another machine leads;
 * the leader then asks the holder to appoint. Otherwise the leader takes the lease, which raises the fencing token; where
 * the platform requires fencing, it refuses lower tokens. A holder calls only while its view of the log is current.
 *
 * The lease is stored in the catalog under the name `duty`. A step that fails is retried by the change of primary.
 */
import type { Catalog } from '../catalog/catalog.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import type { Messenger } from '../../runtime/runtime.js';
import type { AppointmentAuthority, PrimaryAppointer } from './primary_appointer.js';

/** Timeout for the holder to call the platform and answer. */
const REQUEST_TIMEOUT_MS = 2500;

/** Proposes a command to the replicated log. */
export type Proposer = (command: whinyoke.ICatalogCommand) => Promise<whinyoke.CatalogResult>;

/** Reachability of the other control machines. */
interface ControlContact {
  /** Whether the control machine at an address answered recently. */
  isInTouch(address: string): boolean;
  /** Whether this process's view of the lease is as new as that of any majority. */
  readonly isCurrent: boolean;
}

export interface AppointmentLeaseDependencies {
  /** Name and address under which this process holds the lease. */
  readonly self: { readonly name: string; readonly address: string };
  readonly catalog: Catalog;
  readonly messenger: Messenger;
  readonly appointer: PrimaryAppointer;
  /** Proposes a command to the replicated log. */
  readonly propose: Proposer;
  readonly contact: ControlContact;
  readonly log: DecisionLog;
}

/** Stages of a call to the platform, in their order. */
type CallStage = 'intended' | 'checked' | 'sent' | 'answered';

/** The appointment lease as seen by one control machine. */
export class AppointmentLease {
  constructor(private readonly dependencies: AppointmentLeaseDependencies) {}

  /** Appoints through the holder, or takes the lease over when the holder is unreachable. Called on the leader. */
  async appoint(group: string, instance: string): Promise<whinyoke.AppointOutcome> {
    const { appointmentLeaseEntry: lease } = this.dependencies.catalog;
    this.logStage('intended', group, instance);
    const address = lease.holderAddress ?? '';
    const isHeldByOther =
      lease.holder !== undefined && lease.holder !== this.dependencies.self.name;
    if (isHeldByOther && this.dependencies.contact.isInTouch(address)) {
      const outcome = await this.forwardToHolder(address, group, instance, lease.token ?? 0);
      if (outcome !== undefined) return outcome;
    }
    if (lease.holder !== this.dependencies.self.name) await this.takeOver();
    return this.appointAsHolder(group, instance);
  }

  /** Handles the leader's request: appoints if this process still holds the lease under that token. */
  async onRequest(request: whinyoke.IAppointRequest): Promise<whinyoke.IAppointReply> {
    const { appointmentLeaseEntry: lease } = this.dependencies.catalog;
    if (lease.holder !== this.dependencies.self.name || lease.token !== request.token) {
      return { outcome: whinyoke.AppointOutcome.TRY_LATER };
    }
    const outcome = await this.appointAsHolder(request.group ?? '', request.instance ?? '');
    return { outcome };
  }

  private async takeOver(): Promise<void> {
    await this.dependencies.propose({
      takeDuty: {
        holder: this.dependencies.self.name,
        holderAddress: this.dependencies.self.address,
      },
    });
  }

  private async appointAsHolder(group: string, instance: string): Promise<whinyoke.AppointOutcome> {
    const { appointmentLeaseEntry: lease } = this.dependencies.catalog;
    // A holder that stalled may have been replaced and must not call under its old token.
    if (lease.holder !== this.dependencies.self.name || !this.dependencies.contact.isCurrent) {
      return whinyoke.AppointOutcome.TRY_LATER;
    }
    const authority: AppointmentAuthority = {
      holder: this.dependencies.self.name,
      token: lease.token ?? 0,
    };
    this.logStage('checked', group, instance);
    const onSent = (): void => this.logStage('sent', group, instance);
    const { appointer } = this.dependencies;
    const outcome = await appointer.appoint(group, instance, authority, onSent);
    this.logStage('answered', group, instance, whinyoke.AppointOutcome[outcome]);
    return outcome;
  }

  private logStage(stage: CallStage, group: string, instance: string, outcome = ''): void {
    const { appointmentLeaseEntry: lease } = this.dependencies.catalog;
    this.dependencies.log(Events.appointmentCall, {
      stage,
      group,
      instance,
      holder: lease.holder ?? '',
      token: lease.token ?? 0,
      outcome,
    });
  }

  private async forwardToHolder(
    address: string,
    group: string,
    instance: string,
    token: number,
  ): Promise<whinyoke.AppointOutcome | undefined> {
    const request = { appointRequest: { group, instance, token } };
    try {
      const body = await this.dependencies.messenger.request(address, request, REQUEST_TIMEOUT_MS);
      return body.appointReply?.outcome ?? undefined;
    } catch {
      // The holder is unreachable: the caller takes the lease over and appoints itself.
      return undefined;
    }
  }
}
