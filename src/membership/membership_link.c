#include "coltsfootstile/membership_link.h"

#include <assert.h>
#include <event2/event.h>
#include <glib.h>
#include <string.h>

#include "coltsfootstile/clock.h"
#include "membership.pb-c.h"

/* Time between two steps, a fraction of COLT_PROBE_INTERVAL_US. */
#define STEP_INTERVAL_US 50000

enum
{
  PROBE_KIND = COLT_WIRE_MEMBERSHIP_FIRST
};

struct ColtPiggybackSlot
{
  ColtPiggybackFill fill;
  ColtPiggybackReceive receive;
  void *client;
};

struct ColtMembershipLink
{
  struct ColtWire *wire;
  struct ColtMembership *membership;
  struct event *timer;
  void (*member_changed) (void *client, const struct ColtMember *member);
  void *client;
  struct ColtPiggybackSlot slots[COLT_PIGGYBACK_COUNT];
};

struct ColtProbeCall
{
  struct ColtMembershipLink *link;
  uint32_t instance;
  int64_t requested_us;
};

static void send_probe_ (void *client, uint32_t instance);
static void on_member_changed_ (void *client, const struct ColtMember *member);
static void handle_probe_ (void *client,
                           const struct ColtWireOrigin *origin,
                           const uint8_t *body,
                           size_t size);
static void on_probe_reply_ (void *client,
                             enum ColtWireResult result,
                             const uint8_t *body,
                             size_t size);
static void on_timer_ (evutil_socket_t fd, short what, void *arg);
static GByteArray *pack_probe_ (struct ColtMembershipLink *link);
static void process_probe_ (struct ColtMembershipLink *link,
                            uint32_t instance,
                            int64_t requested_us,
                            const uint8_t *body,
                            size_t size);
static void merge_members_ (struct ColtMembershipLink *link,
                            const ColtProbe *probe);

static const struct ColtMembershipClient membership_callbacks
    = { send_probe_, on_member_changed_ };

struct ColtMembershipLink *
colt_membership_link_create (
    struct event_base *base,
    struct ColtWire *wire,
    struct ColtMembership *membership,
    void (*member_changed) (void *client, const struct ColtMember *member),
    void *client)
{
  struct ColtMembershipLink *link = g_new0 (struct ColtMembershipLink, 1);

  link->wire = wire;
  link->membership = membership;
  link->member_changed = member_changed;
  link->client = client;
  link->timer = event_new (base, -1, EV_PERSIST, on_timer_, link);
  colt_membership_set_client (membership, &membership_callbacks, link);
  colt_wire_set_handler (wire, PROBE_KIND, handle_probe_, link);
  return link;
}

void
colt_membership_link_destroy (struct ColtMembershipLink *link)
{
  if (link == NULL)
    return;
  event_free (link->timer);
  g_free (link);
}

void
colt_membership_link_set_topic (struct ColtMembershipLink *link,
                                enum ColtPiggybackTopic topic,
                                ColtPiggybackFill fill,
                                ColtPiggybackReceive receive,
                                void *client)
{
  link->slots[topic].fill = fill;
  link->slots[topic].receive = receive;
  link->slots[topic].client = client;
}

void
colt_membership_link_start (struct ColtMembershipLink *link)
{
  const struct timeval interval = { 0, STEP_INTERVAL_US };

  event_add (link->timer, &interval);
}

void
colt_membership_link_announce (struct ColtMembershipLink *link)
{
  uint32_t peers[COLT_DIGEST_MAX];
  size_t count = colt_membership_list_eligible (link->membership, 0, peers,
                                                COLT_DIGEST_MAX);
  GByteArray *body = pack_probe_ (link);
  size_t i;

  for (i = 0; i < count; i++)
    colt_wire_send (link->wire, peers[i], PROBE_KIND, body->data, body->len);
  g_byte_array_unref (body);
}

static void
send_probe_ (void *client, uint32_t instance)
{
  struct ColtMembershipLink *link = client;
  struct ColtProbeCall *call = g_new0 (struct ColtProbeCall, 1);
  GByteArray *body = pack_probe_ (link);

  call->link = link;
  call->instance = instance;
  call->requested_us = colt_clock_monotonic_us ();
  colt_wire_call (link->wire, instance, PROBE_KIND, body->data, body->len,
                  COLT_PROBE_TIMEOUT_MS, on_probe_reply_, call);
  g_byte_array_unref (body);
}

static void
on_member_changed_ (void *client, const struct ColtMember *member)
{
  struct ColtMembershipLink *link = client;

  colt_wire_set_peer (link->wire, member->instance, member->address);
  link->member_changed (link->client, member);
}

static void
handle_probe_ (void *client,
               const struct ColtWireOrigin *origin,
               const uint8_t *body,
               size_t size)
{
  struct ColtMembershipLink *link = client;
  GByteArray *reply;

  process_probe_ (link, origin->instance, -1, body, size);
  if (origin->call == 0)
    return;
  reply = pack_probe_ (link);
  colt_wire_reply (link->wire, origin, reply->data, reply->len);
  g_byte_array_unref (reply);
}

static void
on_probe_reply_ (void *client,
                 enum ColtWireResult result,
                 const uint8_t *body,
                 size_t size)
{
  struct ColtProbeCall *call = client;
  struct ColtMembershipLink *link = call->link;
  int64_t now_us = colt_clock_monotonic_us ();

  if (result == COLT_WIRE_REPLIED)
    {
      process_probe_ (link, call->instance, call->requested_us, body, size);
      colt_membership_handle_probe_answer (link->membership, call->instance,
                                           now_us);
    }
  else
    colt_membership_handle_probe_failure (link->membership, call->instance,
                                          now_us);
  g_free (call);
}

static void
on_timer_ (evutil_socket_t fd, short what, void *arg)
{
  struct ColtMembershipLink *link = arg;

  (void)fd;
  (void)what;
  colt_membership_step (link->membership, colt_clock_monotonic_us ());
}

static GByteArray *
pack_probe_ (struct ColtMembershipLink *link)
{
  struct ColtMember members[COLT_DIGEST_MAX];
  size_t count = colt_membership_write_digest (link->membership, members);
  ColtMemberWord messages[COLT_DIGEST_MAX];
  ColtMemberWord *message_list[COLT_DIGEST_MAX];
  ColtPiggyback piggybacks[COLT_PIGGYBACK_COUNT];
  ColtPiggyback *piggyback_list[COLT_PIGGYBACK_COUNT];
  uint8_t bodies[COLT_PIGGYBACK_COUNT][COLT_PIGGYBACK_MAX];
  ColtProbe probe = COLT_PROBE__INIT;
  GByteArray *packed = g_byte_array_new ();
  unsigned topic;
  size_t i;

  for (i = 0; i < count; i++)
    {
      colt_member_word__init (&messages[i]);
      messages[i].instance = members[i].instance;
      messages[i].zone = members[i].zone;
      messages[i].incarnation = members[i].incarnation;
      messages[i].state = members[i].state;
      messages[i].address = members[i].address;
      message_list[i] = &messages[i];
    }
  probe.n_members = count;
  probe.members = message_list;
  probe.piggybacks = piggyback_list;
  for (topic = 1; topic < COLT_PIGGYBACK_COUNT; topic++)
    {
      const struct ColtPiggybackSlot *slot = &link->slots[topic];
      ColtPiggyback *piggyback = &piggybacks[probe.n_piggybacks];

      if (slot->fill == NULL)
        continue;
      colt_piggyback__init (piggyback);
      piggyback->topic = topic;
      piggyback->body.data = bodies[topic];
      piggyback->body.len = slot->fill (slot->client, bodies[topic]);
      if (piggyback->body.len > 0)
        piggyback_list[probe.n_piggybacks++] = piggyback;
    }
  g_byte_array_set_size (packed, (guint)colt_probe__get_packed_size (&probe));
  colt_probe__pack (&probe, packed->data);
  return packed;
}

static void
process_probe_ (struct ColtMembershipLink *link,
                uint32_t instance,
                int64_t requested_us,
                const uint8_t *body,
                size_t size)
{
  ColtProbe *probe = colt_probe__unpack (NULL, size, body);
  size_t i;

  if (probe == NULL)
    return;
  merge_members_ (link, probe);
  for (i = 0; i < probe->n_piggybacks; i++)
    {
      const ColtPiggyback *piggyback = probe->piggybacks[i];
      const struct ColtPiggybackSlot *slot;

      if (piggyback->topic >= COLT_PIGGYBACK_COUNT)
        continue;
      slot = &link->slots[piggyback->topic];
      if (slot->receive != NULL)
        slot->receive (slot->client, instance, requested_us,
                       piggyback->body.data, piggyback->body.len);
    }
  colt_probe__free_unpacked (probe, NULL);
}

static void
merge_members_ (struct ColtMembershipLink *link, const ColtProbe *probe)
{
  struct ColtMember members[COLT_DIGEST_MAX];
  size_t count = 0;
  size_t i;

  for (i = 0; i < probe->n_members && count < COLT_DIGEST_MAX; i++)
    {
      const ColtMemberWord *message = probe->members[i];

      if (message->state > COLT_MEMBER_DEAD)
        continue;
      members[count].instance = message->instance;
      members[count].zone = message->zone;
      members[count].incarnation = message->incarnation;
      members[count].state = (enum ColtMemberState)message->state;
      g_strlcpy (members[count].address, message->address,
                 COLT_MEMBER_ADDRESS_SIZE);
      count++;
    }
  colt_membership_merge (link->membership, members, count,
                         colt_clock_monotonic_us ());
}
