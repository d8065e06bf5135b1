package bloperator

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
)

// seal returns what proves that whoever shows it had the operators' token.
func (c *console) seal(purpose string) (string, error) {
	token, err := c.operator.token()
	if err != nil {
		return "", err
	}
	mac := hmac.New(sha256.New, []byte(token))
	_, _ = mac.Write([]byte(purpose))
	return hex.EncodeToString(mac.Sum(nil)), nil
}

func (c *console) sealed(purpose, given string) bool {
	want, err := c.seal(purpose)
	return err == nil && subtle.ConstantTimeCompare([]byte(want), []byte(given)) == 1
}

// The purposes for which a seal is made.
const (
	purposeSession = "session"
	purposeForm    = "form"
)

// withSession lets operators who logged in pass, and refuses forms that other
// sites post.
func (c *console) withSession(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		cookie, err := r.Cookie(sessionCookie)
		if err != nil || !c.sealed(purposeSession, cookie.Value) {
			http.Redirect(w, r, "/login", http.StatusSeeOther)
			return
		}
		if r.Method != http.MethodPost {
			next(w, r)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, largestForm)
		if err := r.ParseForm(); err != nil || !c.sealed(purposeForm, r.PostFormValue("form_seal")) {
			http.Error(w, "the form was not sent from this console", http.StatusForbidden)
			return
		}
		next(w, r)
	}
}

type loginData struct {
	Fault string
}

func (c *console) loginPage(w http.ResponseWriter, _ *http.Request) {
	c.show(w, http.StatusOK, "login.html", loginData{})
}

func (c *console) login(w http.ResponseWriter, r *http.Request) {
	token, err := c.operator.token()
	if err != nil {
		c.show(w, http.StatusForbidden, "login.html", loginData{Fault: "No operators' token is set for this node."})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, largestForm)
	if subtle.ConstantTimeCompare([]byte(r.PostFormValue("token")), []byte(token)) != 1 {
		c.show(w, http.StatusUnauthorized, "login.html", loginData{Fault: "That is not the operators' token."})
		return
	}
	session, err := c.seal(purposeSession)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	http.SetCookie(w, &http.Cookie{ //nolint:gosec // the listener speaks plain HTTP, which a Secure cookie would not cross
		Name: sessionCookie, Value: session, Path: "/", HttpOnly: true, SameSite: http.SameSiteStrictMode,
	})
	http.Redirect(w, r, "/", http.StatusSeeOther)
}
