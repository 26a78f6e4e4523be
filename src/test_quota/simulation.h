/**
 * \file
 * \brief In-memory simulation of zones, owners, leaders, backend servers and
 *        the log.
 *
 * Drives the decision code of limits with lost, duplicated and reordered
 * messages. After each task start it aborts if the tasks that run on the
 * servers exceed the team's limit.
 */
#ifndef COLT_TEST_QUOTA_SIMULATION_H
#define COLT_TEST_QUOTA_SIMULATION_H

#include <glib.h>

#include "coltsfootstile/credits.h"
#include "coltsfootstile/entitlement.h"

enum
{
  SIM_ZONES = 3,
  SIM_INSTANCES = 3,   /* per zone */
  SIM_SERVERS = 3,     /* per zone */
  SIM_LEADERS = 2,     /* per zone, at a time */
  SIM_TEAMS = 2,       /* all in one shard */
  SIM_RECORDS_MAX = 64 /* capacity of the log */
};

/** A simulation; its zones, instances, servers and teams count from 0. */
struct ColtQuotaSim;

/**
 * Creates a simulation with an empty log and no leaders. Every instance is
 * alive, and each server has an owner.
 */
struct ColtQuotaSim *sim_create (void);

/** Destroys a simulation. */
void sim_destroy (struct ColtQuotaSim *sim);

/** Returns the name of a team, which the simulation owns. */
const char *sim_team_name (const struct ColtQuotaSim *sim, int team);

/**
 * \name Log
 * The append functions return false if the log is down or full.
 */
/**@{*/

/**
 * Appends a bundle.
 *
 * \param limits     the teams' limits
 * \param zone_mask  bit N: zone N is in the bundle
 */
bool sim_append_bundle (struct ColtQuotaSim *sim,
                        const struct ColtQuotaAmount limits[SIM_TEAMS],
                        unsigned zone_mask);

/**
 * Appends a transfer record with one move.
 *
 * \param from  number of the zone in the record, counted from 1
 * \param to    number of the zone in the record, counted from 1
 */
bool sim_append_transfer (struct ColtQuotaSim *sim,
                          int team,
                          uint32_t from,
                          uint32_t to,
                          const struct ColtQuotaAmount *amount);

/**
 * Appends a copy of a record, as a writer does that got no answer to its
 * append. Returns false, too, if the log lacks the record.
 *
 * \param record  index of the record, from 0
 */
bool sim_append_duplicate (struct ColtQuotaSim *sim, int record);

/** Returns the number of records in the log. */
int sim_record_count (const struct ColtQuotaSim *sim);

/** Sets whether the log can be read and appended to. */
void sim_set_log_up (struct ColtQuotaSim *sim, bool up);
/**@}*/

/** \name Instances */
/**@{*/

/**
 * Applies the next record of the log to an instance's fold.
 *
 * \return false if there is none or the instance can't reach the log
 */
bool sim_read_record (struct ColtQuotaSim *sim, int zone, int instance);

/**
 * Kills an instance with its leaders. Its servers lose their owner; their tasks
 * go on.
 */
void sim_kill_instance (struct ColtQuotaSim *sim, int zone, int instance);

/**
 * Starts a killed instance as a new owner without servers. Does nothing if the
 * instance is alive, or can reach neither the log nor an instance of every
 * other zone.
 */
void sim_start_instance (struct ColtQuotaSim *sim, int zone, int instance);

/** Sets whether a zone is cut off from the log and from the other zones. */
void sim_set_isolated (struct ColtQuotaSim *sim, int zone, bool isolated);

/**
 * Sets whether an instance is paused. In sim_settle() a paused instance and its
 * leaders read and send nothing, and messages to them stay in flight; it still
 * exchanges compliance.
 */
void
sim_set_paused (struct ColtQuotaSim *sim, int zone, int instance, bool paused);

/**
 * Merges the compliance recorded by one instance into the fold of another, if
 * both are alive and their zones are connected.
 */
void sim_gossip_compliance (struct ColtQuotaSim *sim,
                            int from_zone,
                            int from,
                            int to_zone,
                            int to);

/** Returns an instance's fold, NULL if it was killed. */
struct ColtEntitlements *
sim_fold (struct ColtQuotaSim *sim, int zone, int instance);

/** Returns an instance's credit holder, NULL if it was killed. */
struct ColtCreditHolder *
sim_holder (struct ColtQuotaSim *sim, int zone, int instance);
/**@}*/

/**
 * \name Leaders
 * A leader is given by its slot, 0 to SIM_LEADERS - 1. A zone's first leader
 * is in the last slot.
 */
/**@{*/

/**
 * Creates a leader at an instance with a new epoch. Earlier leaders of the zone
 * stay. Does nothing if the instance is not alive, a server of the zone
 * lacks an owner or no slot is free.
 */
void sim_elect_leader (struct ColtQuotaSim *sim, int zone, int instance);

/** Destroys a leader, if the slot has one. */
void sim_remove_leader (struct ColtQuotaSim *sim, int zone, int leader);

/** Lets a leader divide its credits and send the grants that are due. */
void sim_process_leader (struct ColtQuotaSim *sim, int zone, int leader);

/**
 * Removes from a leader each killed owner whose former servers are all counted
 * at new owners.
 */
void sim_remove_killed_owners (struct ColtQuotaSim *sim, int zone, int leader);

/** Returns a leader, NULL if the slot is free. */
const struct ColtCreditLeader *
sim_leader (const struct ColtQuotaSim *sim, int zone, int leader);
/**@}*/

/**
 * \name Messages in flight
 * Grants and reports. Functions ignore an index out of range.
 */
/**@{*/

/** Returns the number of messages in flight, delayed copies left out. */
size_t sim_message_count (const struct ColtQuotaSim *sim);

/**
 * Delivers a message.
 *
 * \param duplicate  whether a copy stays in flight
 */
void
sim_deliver_message (struct ColtQuotaSim *sim, size_t index, bool duplicate);

/** Drops a message. */
void sim_drop_message (struct ColtQuotaSim *sim, size_t index);

/** Stores a copy of a message for sim_deliver_delayed(). */
void sim_delay_copy (struct ColtQuotaSim *sim, size_t index);

/** Delivers all delayed copies. */
void sim_deliver_delayed (struct ColtQuotaSim *sim);
/**@}*/

/** \name Servers and tasks */
/**@{*/

/**
 * Sets the number of an owner's tasks of a team that wait for credits; each
 * demands a thousandth of a core.
 */
void sim_set_waiting (struct ColtQuotaSim *sim,
                      int zone,
                      int instance,
                      int team,
                      int n);

/**
 * Starts a task, if the instance has credits for it and owns the server. Aborts
 * if the team's tasks exceed its limit then.
 *
 * \param cores  demand in thousandths of a core
 * \return       whether the task was started
 */
bool sim_start_task (struct ColtQuotaSim *sim,
                     int zone,
                     int instance,
                     int server,
                     int team,
                     int64_t cores);

/**
 * Ends a task of a server and releases its credits at the server's owner.
 *
 * \param index  index of the task at the server
 * \return       false if the server has no such task
 */
bool sim_end_task (struct ColtQuotaSim *sim, int zone, int server, int index);

/**
 * Makes an instance the owner of a server at a new epoch and of its tasks. The
 * former owner detects the loss only in sim_mark_lost_servers(). Does nothing
 * if the instance is not alive, owns the server, or lost it earlier and the
 * loss is not marked yet.
 */
void sim_take_over_server (struct ColtQuotaSim *sim,
                           int zone,
                           int server,
                           int instance);

/** Marks as lost, at an instance, the servers that others took over. */
void sim_mark_lost_servers (struct ColtQuotaSim *sim, int zone, int instance);

/** Lets an instance send the reports that are due. */
void sim_process_holder (struct ColtQuotaSim *sim, int zone, int instance);

/** Returns the number of a team's running tasks in a zone; -1: all zones. */
int64_t sim_count_running (const struct ColtQuotaSim *sim, int zone, int team);
/**@}*/

/**
 * Runs rounds of 50 ms each. In a round all instances and leaders that are not
 * paused read the log and send what is due, and messages and compliance are
 * exchanged.
 */
void sim_settle (struct ColtQuotaSim *sim, int rounds);

/** Advances the simulated time. */
void sim_advance_clock (struct ColtQuotaSim *sim, int64_t duration_us);

/** Returns the simulated time. */
int64_t sim_now_us (const struct ColtQuotaSim *sim);

/**
 * Gets the highest amount that a team's tasks may use in all zones: the team's
 * limit at the lowest offset at which some zone may still compute credits.
 */
void sim_get_bound (struct ColtQuotaSim *sim,
                    int team,
                    struct ColtQuotaAmount *bound);

/**
 * Aborts unless, at the log's head, the zones' entitlements to each team sum to
 * the team's limit.
 */
void sim_check_sums (struct ColtQuotaSim *sim);

/** Aborts unless each instance that has read the log to its head has the same
 * limits and entitlements as a reader of the whole log, whether it has read all
 * of it or copied an earlier state from a peer. */
void sim_check_folds (const struct ColtQuotaSim *sim);

#endif
