/**
 * Local copies of store records in an entry that accepts jobs: entries, pool owners, operators' records and targets.
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

/** Capacity assumed for an entry whose record does not state it. */
const defaultCapacityCores = 1;
const membersWaitMilliseconds = 1_000;
const configurationWaitMilliseconds = 500;
const followPauseMilliseconds = 20;
/** Targets renew their records all the time; this delay batches the changes. */
const registryPauseMilliseconds = 500;
/** Shorter delay while an owner expects machines to join its pool. */
const arrivalPauseMilliseconds = 120;
/** An entry that owns no pool needs no targets; taking a pool ends this delay early. */
const noPoolPauseMilliseconds = 60_000;
/** Maximum age of the copy of the targets. An older copy is not used and is replaced by a new list. */
const usableAgeMilliseconds = 3_000;
const registryWaitMilliseconds = 500;

/** The known entries and the pools that they own. */
export interface Members {
  readonly follower: PrefixFollower;
  readonly directory: OwnerDirectory;
  /** All known entries, including this one, as candidates for relaying orders. */
  readonly relayCandidates: () => RelayCandidate[];
}

/**
 * Follows the records of entries, pool owners and leader roles.
 * @param store - the store that holds the records
 * @param peers - receives each new list of entries
 * @param log - receives `store-lost` and `store-regained`
 * @param onChanged - called when entries, owners or leader roles have changed
 * @returns the followed records; empty until the first list
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
      peers.follow([...entries, ...findUnlistedOwners(entries, owners.values())]);
      onChanged();
    },
    onReachable: (isReachable, reason) => {
      log.write(isReachable ? "info" : "warn", isReachable ? "store-regained" : "store-lost", { reason });
    },
  });
  const directory: OwnerDirectory = {
    entries: () =>
      new Map(entries.map(({ entryId, capacityCores = defaultCapacityCores }) => [entryId, capacityCores])),
    owners: () => owners,
    ageMilliseconds: () => follower.ageMilliseconds(),
  };
  const relayCandidates = (): RelayCandidate[] => {
    const holders = new Set([...owners.values()].map(({ entryId }) => entryId));
    return entries.map(({ entryId, zone, capacityCores = defaultCapacityCores }) => ({
      entryId,
      zone,
      capacityCores,
      holdsOwner: holders.has(entryId),
    }));
  };
  return { follower, directory, relayCandidates };
}

/** The member records of owners, from their owner records, that the member list lacks: they have to be reached all the same. */
function findUnlistedOwners(
  entries: readonly MemberRecord[],
  owners: Iterable<OwnerRecord>,
): Iterable<MemberRecord> {
  const listed = new Set(entries.map(({ entryId }) => entryId));
  const unlisted = new Map<string, MemberRecord>();
  for (const { member } of owners)
    if (member !== undefined && !listed.has(member.entryId)) unlisted.set(member.entryId, member);
  return unlisted.values();
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
  /** The newest valid configuration received, regardless of its age; undefined before the first. */
  readonly current: () => QueueTable | undefined;
  /** The same configuration, or undefined while the copy is too old to serve callers. */
  readonly usable: () => QueueTable | undefined;
  /** Maintenance waves that the operators have requested. */
  readonly waves: () => readonly MaintenanceWave[];
}

/**
 * Follows the operators' records. A configuration that is invalid or not newer than the current one is not applied.
 * @param options - the store, the decoders and the maximum age of a usable configuration
 * @param onTable - called with each newer valid configuration
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
  const applyRecord = (record: StoreRecord | undefined): void => {
    // Decoding many workspace keys is slow, and the other records of the operators change more often.
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
      applyRecord(records.get(operators.configurationKey));
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

/** The registered targets. */
export interface FollowedRegistry {
  readonly follower: PrefixFollower;
  /** Targets of a pool by identifier; undefined while the copy is too old. */
  readonly listedTargets: (pool: string) => ReadonlyMap<string, RegisteredTarget> | undefined;
}

/**
 * Follows the registration records of targets.
 * @param options - the store and the decoder of the records
 * @param owners - returns the pool owners in this entry, which determine how often the records are read
 * @param onChanged - called when the targets have changed, and after every list
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
      const poolTargets = targets?.filter((target) => target.pool === pool);
      return poolTargets === undefined
        ? undefined
        : new Map(poolTargets.map((target) => [target.targetId, target]));
    },
  };
}

function choosePause(owners: readonly PoolOwner[]): number {
  if (owners.length === 0) return noPoolPauseMilliseconds;
  return owners.some((owner) => owner.expectsTargets())
    ? arrivalPauseMilliseconds
    : registryPauseMilliseconds;
}
