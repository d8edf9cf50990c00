/**
 * The duty to appoint primaries. One process holds it at a time; holder and fencing token are in the
 * replicated log. The duty stays with its holder while that is in touch, also when another machine leads.
 */
import type { Catalog } from '../catalog/catalog.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Messenger } from '../../runtime/runtime.js';
import type { AppointmentAuthority, PrimaryAppointer } from './primary_appointer.js';

const REQUEST_TIMEOUT_MS = 2500;

/** Proposes a command to the replicated log. */
export type Proposer = (command: whinyoke.ICatalogCommand) => Promise<whinyoke.CatalogResult>;

/** Duty as seen by one control machine. */
export class AppointmentLease {
  constructor(
    private readonly self: { readonly name: string; readonly address: string },
    private readonly catalog: Catalog,
    private readonly messenger: Messenger,
    private readonly appointer: PrimaryAppointer,
    private readonly propose: Proposer,
    /** Whether a control machine answered lately. */
    private readonly isInTouch: (address: string) => boolean,
    /** Whether what this process knows of the duty is as new as any majority knows. */
    private readonly isCurrent: () => boolean,
  ) {}

  /** Has the holder appoint; takes the duty over when the holder is not in touch. For the leader. */
  async appoint(group: string, instance: string): Promise<whinyoke.AppointOutcome> {
    const { duty } = this.catalog;
    const address = duty.holderAddress ?? '';
    const isOther = duty.holder !== undefined && duty.holder !== this.self.name;
    if (isOther && this.isInTouch(address)) {
      const outcome = await this.askHolder(address, group, instance, duty.token ?? 0);
      if (outcome !== undefined) return outcome;
    }
    if (duty.holder !== this.self.name) await this.takeOver();
    return this.appointAsHolder(group, instance);
  }

  /** Answers the leader: appoints if this process still holds the duty under that token. */
  async onRequest(request: whinyoke.IAppointRequest): Promise<whinyoke.IAppointReply> {
    const { duty } = this.catalog;
    if (duty.holder !== this.self.name || duty.token !== request.token) {
      return { outcome: whinyoke.AppointOutcome.TRY_LATER };
    }
    const outcome = await this.appointAsHolder(request.group ?? '', request.instance ?? '');
    return { outcome };
  }

  private async takeOver(): Promise<void> {
    await this.propose({ takeDuty: { holder: this.self.name, holderAddress: this.self.address } });
  }

  private appointAsHolder(group: string, instance: string): Promise<whinyoke.AppointOutcome> {
    const { duty } = this.catalog;
    // A holder that stood still may have been replaced: it must not call under its former token.
    if (duty.holder !== this.self.name || !this.isCurrent()) {
      return Promise.resolve(whinyoke.AppointOutcome.TRY_LATER);
    }
    const authority: AppointmentAuthority = { holder: this.self.name, token: duty.token ?? 0 };
    return this.appointer.appoint(group, instance, authority);
  }

  private async askHolder(
    address: string,
    group: string,
    instance: string,
    token: number,
  ): Promise<whinyoke.AppointOutcome | undefined> {
    const request = { appointRequest: { group, instance, token } };
    try {
      const body = await this.messenger.request(address, request, REQUEST_TIMEOUT_MS);
      return body.appointReply?.outcome ?? undefined;
    } catch {
      return undefined;
    }
  }
}
