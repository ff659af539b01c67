/**
 * What an entry that takes jobs follows in the store: other entries, the operators' records, and targets.
 * @packageDocumentation
 */
import {
  decodeOwnerRecord,
  entryPrefix,
  ownerPrefix,
  membersPrefix,
  type OwnerDirectory,
  type OwnerRecord,
  type PoolOwner,
} from "../pool-owners/index.js";
import type { MaintenanceWave } from "../fleet/index.js";
import type { QueueTable } from "../jobs/index.js";
import type { RelayCandidate } from "../order-relays/index.js";
import { parseMemberRecord, type PeerNetwork, type MemberRecord } from "../membership/index.js";
import {
  followPrefix,
  type PrefixFollower,
  type StoreRecord,
  type TransactionalStore,
} from "../store/index.js";
import type { RegisteredTarget } from "../task-runs/index.js";
import type { Log } from "../telemetry/index.js";
import { describeWorkspaceChanges } from "../workspaces/index.js";
import type { JobEntryOptions } from "./job-entry.js";

/** What an entry counts as that does not tell its capacity. */
const usualCapacityCores = 1;
const membersWaitMilliseconds = 1_000;
const configurationWaitMilliseconds = 500;
const followPauseMilliseconds = 20;
/** Targets renew their records all the time; news gather in this pause. */
const registryPauseMilliseconds = 500;
/** The pause while an owner waits for machines that come to its pool. */
const arrivalPauseMilliseconds = 120;
/** An entry that owns no pool needs no targets, and reads them when it takes a pool. */
const idlePauseMilliseconds = 60_000;
/** A copy that is older says too little of the targets of an owner that was just taken. */
const usableAgeMilliseconds = 3_000;
const registryWaitMilliseconds = 500;
/** The entries and the owners that they hold. */
export interface Members {
  readonly follower: PrefixFollower;
  readonly directory: OwnerDirectory;
  /** Entries that could relay orders. */
  readonly relayCandidates: () => RelayCandidate[];
}

/**
 * Follows the entries and the owners that they hold.
 * @param store - the store
 * @param peers - opens links to the entries
 * @param log - takes losses of the store
 * @param onChanged - called when entries, owners or leader roles changed
 * @returns what is known of them
 */
export function followMembers(
  store: TransactionalStore,
  peers: PeerNetwork,
  log: Log,
  onChanged: () => void,
): Members {
  let entries: readonly MemberRecord[] = [];
  let owners: ReadonlyMap<string, OwnerRecord & { readonly revision: number }> = new Map();
  const follower = followPrefix({
    store,
    prefix: membersPrefix,
    waitMilliseconds: membersWaitMilliseconds,
    pauseMilliseconds: () => followPauseMilliseconds,
    onChanged: (records) => {
      entries = [...records.values()].flatMap(({ key, value }) =>
        key.startsWith(entryPrefix) ? (parseMemberRecord(value) ?? []) : [],
      );
      owners = decodeOwners(records.values());
      peers.follow(entries);
      onChanged();
    },
    onReachable: (isReachable, reason) => {
      log.write(isReachable ? "info" : "warn", isReachable ? "store-regained" : "store-lost", { reason });
    },
  });
  const directory: OwnerDirectory = {
    entries: () =>
      new Map(entries.map(({ entryId, capacityCores = usualCapacityCores }) => [entryId, capacityCores])),
    owners: () => owners,
    ageMilliseconds: () => follower.ageMilliseconds(),
  };
  const relayCandidates = (): RelayCandidate[] => {
    const holders = new Set([...owners.values()].map(({ entryId }) => entryId));
    return entries.map(({ entryId, zone, capacityCores = usualCapacityCores }) => ({
      entryId,
      zone,
      capacityCores,
      holdsOwner: holders.has(entryId),
    }));
  };
  return { follower, directory, relayCandidates };
}

function decodeOwners(records: Iterable<StoreRecord>): Map<string, OwnerRecord & { revision: number }> {
  const owners = new Map<string, OwnerRecord & { revision: number }>();
  for (const { key, value, revision } of records) {
    if (!key.startsWith(ownerPrefix)) continue;
    const record = decodeOwnerRecord(value);
    if (record !== undefined) owners.set(key.slice(ownerPrefix.length), { ...record, revision });
  }
  return owners;
}

/** The operators' configuration and waves. */
export interface FollowedConfiguration {
  readonly follower: PrefixFollower;
  /** The newest configuration that was received. */
  readonly current: () => QueueTable | undefined;
  /** The same, while it is surely new enough for callers' requests. */
  readonly usable: () => QueueTable | undefined;
  /** Waves of maintenance that the operators have asked for. */
  readonly waves: () => readonly MaintenanceWave[];
}

/**
 * Follows what the operators write.
 * @param options - the store, and how the records are read
 * @param onTable - called with each newer configuration
 * @returns the configuration and the waves
 */
export function followConfiguration(
  options: Pick<JobEntryOptions, "store" | "log" | "configurationMilliseconds" | "operators">,
  onTable: (table: QueueTable) => void,
): FollowedConfiguration {
  const { store, operators, log, configurationMilliseconds } = options;
  let current: QueueTable | undefined;
  let waves: readonly MaintenanceWave[] = [];
  let readRevision = 0;
  const takeRecord = (record: StoreRecord | undefined): void => {
    // With many keys it takes a while to read, and other records of the operators change more often.
    if (record === undefined || record.revision === readRevision) return;
    readRevision = record.revision;
    operators.decode(record.value).caseOf({
      Left: (message) => {
        log.write("error", "configuration-unreadable", { revision: record.revision, message });
      },
      Right: (table) => {
        if (current !== undefined && table.version <= current.version) return;
        const changes = describeWorkspaceChanges(current?.workspaces, table.workspaces);
        current = table;
        const { version, queues } = table;
        log.write("info", "configuration-in-force", {
          version,
          revision: record.revision,
          queues: queues.length,
        });
        if (changes !== undefined) log.write("info", "workspaces-changed", { version, ...changes });
        onTable(table);
      },
    });
  };
  const follower = followPrefix({
    store,
    prefix: operators.prefix,
    waitMilliseconds: configurationWaitMilliseconds,
    pauseMilliseconds: () => followPauseMilliseconds,
    onChanged: (records) => {
      takeRecord(records.get(operators.configurationKey));
      waves = operators.decodeWaves(records);
    },
  });
  const isFresh = (): boolean => follower.ageMilliseconds() < configurationMilliseconds;
  return {
    follower,
    current: () => current,
    usable: () => (isFresh() ? current : undefined),
    waves: () => waves,
  };
}

/** The targets as they register. */
export interface FollowedRegistry {
  readonly follower: PrefixFollower;
  readonly listedTargets: (pool: string) => ReadonlyMap<string, RegisteredTarget> | undefined;
}

/**
 * Follows the records of targets.
 * @param options - the store, and how the records are read
 * @param owners - the owners of this entry
 * @param onChanged - called when they changed
 * @returns the targets by pool
 */
export function followRegistry(
  { store, registry }: Pick<JobEntryOptions, "store" | "registry">,
  owners: () => readonly PoolOwner[],
  onChanged: () => void,
): FollowedRegistry {
  let targets: readonly RegisteredTarget[] | undefined;
  const follower = followPrefix({
    store,
    prefix: registry.prefix,
    waitMilliseconds: registryWaitMilliseconds,
    pauseMilliseconds: () => choosePause(owners()),
    listAfterMilliseconds: usableAgeMilliseconds,
    onChanged: (records) => {
      targets = registry.decode(records.values());
      onChanged();
    },
  });
  return {
    follower,
    listedTargets: (pool) => {
      if (follower.ageMilliseconds() > usableAgeMilliseconds) return undefined;
      const own = targets?.filter((target) => target.pool === pool);
      return own === undefined ? undefined : new Map(own.map((target) => [target.targetId, target]));
    },
  };
}

function choosePause(owners: readonly PoolOwner[]): number {
  if (owners.length === 0) return idlePauseMilliseconds;
  return owners.some((owner) => owner.expectsTargets())
    ? arrivalPauseMilliseconds
    : registryPauseMilliseconds;
}
