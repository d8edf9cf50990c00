/**
 * Immutable description of a database group, replaced by pure functions on each report. Which member may
 * be trusted as primary follows from terms alone, never from clocks.
 */
import type { GroupConfiguration } from '../configuration/configuration.js';
import type { InstanceReport } from './instance_report.js';

/** One instance as last seen. */
export interface InstanceDescription {
  readonly address: string;
  readonly zone: string;
  /** Whether the latest probe was answered. */
  readonly isReachable: boolean;
  /** Whether the instance takes no new work, by configuration, platform list or its own word. */
  readonly isLeaving: boolean;
  /** Latest report; kept while the instance is unreachable. */
  readonly report: InstanceReport | undefined;
}

/** A group as last seen. */
export interface GroupDescription {
  readonly name: string;
  readonly instances: readonly InstanceDescription[];
  /** Highest term in the latest reports of the instances. */
  readonly term: number;
  /** Address of the member that is primary at the highest term; undefined when there is none. */
  readonly primary: string | undefined;
}

/** Number of instances that make a majority. */
export function majorityOf(instanceCount: number): number {
  return Math.floor(instanceCount / 2) + 1;
}

/** The description before any report. */
export function initialDescription(configuration: GroupConfiguration): GroupDescription {
  return {
    name: configuration.name,
    term: 0,
    primary: undefined,
    instances: configuration.instances.map((instance) => ({
      address: instance.address,
      zone: instance.zone,
      isReachable: false,
      isLeaving: instance.leaving,
      report: undefined,
    })),
  };
}

function replaceInstance(
  group: GroupDescription,
  address: string,
  change: (instance: InstanceDescription) => InstanceDescription,
): GroupDescription {
  const instances = group.instances.map((instance) =>
    instance.address === address ? change(instance) : instance,
  );
  // Only what the members say now: one that lost its disk may forget a term that no other ever knew.
  const term = Math.max(0, ...instances.map((instance) => instance.report?.term ?? 0));
  const primary = instances.find(
    (instance) =>
      instance.isReachable && instance.report?.isPrimary === true && instance.report.term === term,
  );
  return { name: group.name, instances, term, primary: primary?.address };
}

/** The group after an instance answered a probe. */
export function withReport(
  group: GroupDescription,
  address: string,
  report: InstanceReport,
): GroupDescription {
  return replaceInstance(group, address, (instance) => ({
    ...instance,
    isReachable: true,
    report,
  }));
}

/** The group after a probe of an instance failed. */
export function withFailure(group: GroupDescription, address: string): GroupDescription {
  return replaceInstance(group, address, (instance) => ({ ...instance, isReachable: false }));
}

/** The group with a new set of leaving instances. */
export function withLeaving(
  group: GroupDescription,
  leaving: ReadonlySet<string>,
): GroupDescription {
  return {
    ...group,
    instances: group.instances.map((instance) => ({
      ...instance,
      isLeaving: leaving.has(instance.address),
    })),
  };
}

/**
 * Age from which a report counts for nothing, in milliseconds. Probes are answered or given up much
 * sooner, so only a process that was frozen in between holds one that old.
 */
const REPORT_LIFETIME_MS = 1000;

/** Whether the latest report of an instance still tells something. */
export function hasFreshReport(instance: InstanceDescription, now: number): boolean {
  return instance.report !== undefined && now - instance.report.sentAt <= REPORT_LIFETIME_MS;
}

/**
 * Whether new work may go to the instance.
 * @param now - reading of this process's clock, in milliseconds
 */
export function takesWork(instance: InstanceDescription, now: number): boolean {
  const announcesLeaving = instance.report?.isLeaving ?? true;
  const isStaying = !instance.isLeaving && !announcesLeaving;
  return instance.isReachable && isStaying && hasFreshReport(instance, now);
}

/** The instance of that address. */
export function findInstance(
  group: GroupDescription,
  address: string,
): InstanceDescription | undefined {
  return group.instances.find((instance) => instance.address === address);
}

/** Instances that are secondaries in their own eyes and may take reads. */
export function readableSecondaries(
  group: GroupDescription,
  now: number,
): readonly InstanceDescription[] {
  return group.instances.filter(
    (instance) =>
      takesWork(instance, now) &&
      instance.address !== group.primary &&
      instance.report?.isPrimary === false &&
      instance.report.isOnline,
  );
}
