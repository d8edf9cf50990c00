/**
 * DECISION: who may call the platform to appoint a primary.
 *
 * Answers: two control machines that both believe to lead; a holder that crashed or stood still.
 * Inputs: holder and fencing token in the replicated log, whether the holder answered the leader lately, whether what this
 *   process knows of the log is current.
 * Rule: one process holds the lease at a time. It stays with its holder while that is in touch, also when another machine
 *   leads; the leader then asks the holder to appoint. Otherwise the leader takes it, which raises the token; where the platform
 *   requires fencing, it refuses lower ones. A holder calls only while its knowledge is current.
 * Constants: below, and the two of `cluster_contact.ts` in `src/appointed/control`.
 *
 * Owns nothing: the lease is in the catalog, under its stored name `duty`. Relies on a majority (to take the lease), on the
 * holder's answer and on the platform; each may fail, and the change of primary tries again.
 */
import type { Catalog } from '../catalog/catalog.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Messenger } from '../../runtime/runtime.js';
import type { AppointmentAuthority, PrimaryAppointer } from './primary_appointer.js';

/** Time for the holder to call the platform and answer, in milliseconds. A guess, not measured. */
const REQUEST_TIMEOUT_MS = 2500;

/** Proposes a command to the replicated log. */
export type Proposer = (command: whinyoke.ICatalogCommand) => Promise<whinyoke.CatalogResult>;

/** What a control machine knows of the others. */
interface ControlContact {
  /** Whether the control machine at an address answered lately. */
  isInTouch(address: string): boolean;
  /** Whether what this process knows of the lease is as new as any majority knows. */
  readonly isCurrent: boolean;
}

/** What the lease needs of its control machine. */
export interface AppointmentLeaseDependencies {
  /** Name and address under which this process holds the lease. */
  readonly self: { readonly name: string; readonly address: string };
  /** The replicated state. */
  readonly catalog: Catalog;
  /** The way to other processes. */
  readonly messenger: Messenger;
  /** Calls the platform to appoint a primary. */
  readonly appointer: PrimaryAppointer;
  /** Proposes a command to the replicated log. */
  readonly propose: Proposer;
  /** What this machine knows of the others. */
  readonly contact: ControlContact;
}

/** The lease as seen by one control machine. */
export class AppointmentLease {
  constructor(private readonly dependencies: AppointmentLeaseDependencies) {}

  /** Has the holder appoint; takes the lease over when the holder is not in touch. For the leader. */
  async appoint(group: string, instance: string): Promise<whinyoke.AppointOutcome> {
    const { appointmentLeaseEntry: lease } = this.dependencies.catalog;
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

  /** Answers the leader: appoints if this process still holds the lease under that token. */
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

  private appointAsHolder(group: string, instance: string): Promise<whinyoke.AppointOutcome> {
    const { appointmentLeaseEntry: lease } = this.dependencies.catalog;
    // A holder that stood still may have been replaced: it must not call under its former token.
    if (lease.holder !== this.dependencies.self.name || !this.dependencies.contact.isCurrent) {
      return Promise.resolve(whinyoke.AppointOutcome.TRY_LATER);
    }
    const authority: AppointmentAuthority = {
      holder: this.dependencies.self.name,
      token: lease.token ?? 0,
    };
    return this.dependencies.appointer.appoint(group, instance, authority);
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
      // The holder is out of reach: the caller takes the lease over, so no appointment is lost.
      return undefined;
    }
  }
}
